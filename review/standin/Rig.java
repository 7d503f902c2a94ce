// SPDX-License-Identifier: Apache-2.0
import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the cases share: a node started by the deploy file's run line, and small stand-ins for
 * discovery, servers and clients that follow the protocol page. All addresses are loopback.
 */
final class Rig implements Closeable {

    static final String HOST = "127.0.0.1";
    private static final double LIMIT_MS = 112_000;
    static final int KEPT = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;

    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final long zero = System.nanoTime();
    private final PrintWriter record;
    private final Path root;
    private final Path temporary;
    private final List<Closeable> open = new ArrayList<>();

    private Rig(String root, String folder) throws IOException {
        this.root = Path.of(root);
        record = new PrintWriter(Files.newBufferedWriter(Path.of(folder, "record.txt")));
        temporary = Files.createTempDirectory("ottergauge-review-");
        log("disruption: " + (trouble ? "yes" : "no"));
        Runtime.getRuntime().addShutdownHook(new Thread(this::killNodes));
        daemon(
                () -> {
                    sleep(LIMIT_MS);
                    log("the case took too long");
                    close();
                    Runtime.getRuntime().halt(COULD_NOT_RUN);
                });
    }

    private void killNodes() {
        for (Closeable each : open) {
            if (each instanceof Node node) {
                node.process.destroyForcibly();
            }
        }
    }

    /** What a case does; the result is its exit code. */
    interface Play {
        int run(Rig rig) throws Exception;
    }

    /** Runs a case: the arguments are the repository's root and the case's folder. */
    static void main(String[] arguments, Play play) {
        int code = COULD_NOT_RUN;
        try (Rig rig = new Rig(arguments[0], arguments[1])) {
            try {
                code = play.run(rig);
            } catch (Exception e) {
                rig.log("the case could not run: " + e);
                System.err.println("the case could not run: " + e);
            }
        } catch (IOException e) {
            System.err.println("the case could not run: " + e);
        }
        System.exit(code);
    }

    /** Milliseconds since the case began. */
    double ms() {
        return (System.nanoTime() - zero) / 1e6;
    }

    void log(String line) {
        synchronized (record) {
            record.printf(Locale.ROOT, "%10.1f %s%n", ms(), line);
        }
    }

    <T extends Closeable> T add(T part) {
        open.add(part);
        return part;
    }

    @Override
    public void close() {
        for (int i = open.size() - 1; i >= 0; i--) {
            try {
                open.get(i).close();
            } catch (IOException e) {
                // Nothing is left to do for it.
            }
        }
        record.flush();
        record.close();
        try (var files = Files.walk(temporary)) {
            files.sorted((a, b) -> b.compareTo(a)).forEach(each -> each.toFile().delete());
        } catch (IOException e) {
            // A leftover in the temporary folder does no harm.
        }
    }

    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    static void sleep(double ms) {
        try {
            TimeUnit.MICROSECONDS.sleep((long) (ms * 1000));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    static Thread daemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A class of requests for the settings. */
    static String requestClass(
            String name, String semantics, String group, int aim, int deadline, int window, int worth) {
        return String.format(
                "{\"name\":\"%s\",\"semantics\":\"%s\",\"group\":\"%s\",\"aimMs\":%d.0,"
                        + "\"hardLimitMs\":%d.0,\"windowMs\":%d.0,\"value\":%d.0,\"lateWorth\":0.0,"
                        + "\"streamed\":false}",
                name, semantics, group, aim, deadline, window, worth);
    }

    /** The settings of ankara-kredi, with these classes. */
    static String settings(String... classes) {
        return "{\"me\":0,\"balancers\":1,\"family\":\"proxy\",\"registryMode\":\"on_request\","
                + "\"roundMs\":1.0,\"worthBy\":\"request\",\"weights\":\"off\",\"zone\":\"salon-a\","
                + "\"zones\":[\"salon-a\",\"salon-b\",\"salon-c\"],\"kinds\":[\"std-1\"],"
                + "\"clients\":{\"marksRetry\":false},"
                + "\"reporting\":{\"how\":\"inline\",\"fields\":"
                + "[\"outstanding\",\"backlog\",\"utilization\"]},"
                + "\"ceilings\":{\"probes\":true,\"cancel\":true,\"retryAfter\":true,"
                + "\"maxAttempts\":5,\"maxRetryAfterMs\":600.0,\"secondCopies\":true,"
                + "\"connectTimeoutMs\":200.0,\"connIdleMs\":60000.0,\"peerMessages\":false,"
                + "\"multiplex\":100,\"mostHeld\":20000},"
                + "\"rules\":{\"answerSlackMs\":5.0,\"stopSendingWithinMs\":250.0,"
                + "\"coldFrom\":0.32,\"coldMs\":8900.0,\"tipMultiple\":3.0,\"fallMs\":1000.0,"
                + "\"mustAskInMs\":10000.0},"
                + "\"penalties\":{\"probe\":0.002,\"connection\":0.0},"
                + "\"classes\":["
                + String.join(",", classes)
                + "]}";
    }

    /** One node, started by the deploy file's run line. */
    final class Node implements Closeable {
        final int port = freePort();
        final Path log;
        private final Process process;

        Node(String name, Discovery discovery, String settings) throws IOException {
            Path folder = Files.createDirectories(temporary.resolve(name));
            Path config = folder.resolve("config.json");
            Files.writeString(
                    config,
                    String.format(
                            "{\"name\":\"%s\",\"listen\":\"%s:%d\",\"discovery\":\"%s:%d\","
                                    + "\"seed\":\"8c1f30d27a5be964\",\"limits\":{\"cores\":1.0,"
                                    + "\"memory_mb\":192,\"sockets\":1024},\"known\":%s,"
                                    + "\"settings\":%s}",
                            name, HOST, port, HOST, discovery.port, discovery.list(true), settings));
            String deploy = Files.readString(root.resolve("deploy/balancer.toml"));
            Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
            if (!run.find()) {
                throw new IOException("the deploy file has no run line");
            }
            log = folder.resolve("log");
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
            builder.directory(root.toFile());
            builder.environment().put("BALANCER_CONFIG", config.toString());
            builder.environment().put("TMPDIR", folder.toString());
            builder.redirectInput(ProcessBuilder.Redirect.from(Path.of("/dev/null").toFile()));
            builder.redirectErrorStream(true).redirectOutput(log.toFile());
            process = builder.start();
            log("node " + name + " started, pid " + process.pid());
        }

        void awaitReady() throws IOException {
            double until = ms() + 30_000;
            while (ms() < until && process.isAlive()) {
                try (Client client = new Client(port)) {
                    client.send("GET", "/health/ready", Map.of(), new byte[0]);
                    if (client.read(1000).status == 200) {
                        log("node ready");
                        return;
                    }
                } catch (IOException e) {
                    sleep(50);
                }
                sleep(50);
            }
            throw new IOException("the node is not ready:\n" + Files.readString(log));
        }

        boolean isAlive() {
            return process.isAlive();
        }

        @Override
        public void close() throws IOException {
            process.destroy();
            try {
                if (!process.waitFor(4, TimeUnit.SECONDS)) {
                    process.destroyForcibly();
                    process.waitFor(5, TimeUnit.SECONDS);
                }
            } catch (InterruptedException e) {
                process.destroyForcibly();
            }
            log("node's log:");
            for (String line : Files.readAllLines(log)) {
                record.println("           | " + line);
            }
        }
    }

    /** A message: a request's or a response's head and body. */
    static final class Message {
        String startLine = "";
        int status;
        final Map<String, String> headers = new LinkedHashMap<>();
        byte[] body = new byte[0];

        String header(String name) {
            return headers.get(name.toLowerCase(Locale.ROOT));
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    /** Reads a head; null at the end of the stream before its first byte. */
    static Message readHead(InputStream in) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        int state = 0;
        while (state < 4) {
            int b = in.read();
            if (b < 0) {
                if (bytes.size() == 0) {
                    return null;
                }
                throw new EOFException("a head ended early");
            }
            bytes.write(b);
            state = b == '\r' || b == '\n' ? state + 1 : 0;
        }
        Message message = new Message();
        String[] lines = bytes.toString(StandardCharsets.ISO_8859_1).split("\r\n");
        message.startLine = lines[0];
        for (int i = 1; i < lines.length; i++) {
            int colon = lines[i].indexOf(':');
            message.headers.put(
                    lines[i].substring(0, colon).toLowerCase(Locale.ROOT),
                    lines[i].substring(colon + 1).trim());
        }
        return message;
    }

    /** What a body's reader is told: how many bytes of it have come. */
    interface Progress {
        void read(long bytes) throws IOException;
    }

    static void readBody(InputStream in, Message message, Progress progress) throws IOException {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        if ("chunked".equalsIgnoreCase(message.header("transfer-encoding"))) {
            while (true) {
                int size = Integer.parseInt(readLine(in).trim(), 16);
                copy(in, body, size, progress);
                readLine(in);
                if (size == 0) {
                    break;
                }
            }
        } else if (message.header("content-length") != null) {
            copy(in, body, Integer.parseInt(message.header("content-length")), progress);
        }
        message.body = body.toByteArray();
    }

    private static String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException("a chunk ended early");
            }
            line.append((char) b);
        }
        return line.toString();
    }

    private static void copy(InputStream in, ByteArrayOutputStream to, int bytes, Progress progress)
            throws IOException {
        byte[] buffer = new byte[16 * 1024];
        for (int left = bytes; left > 0; ) {
            int count = in.read(buffer, 0, Math.min(left, buffer.length));
            if (count < 0) {
                throw new EOFException("a body ended early");
            }
            to.write(buffer, 0, count);
            left -= count;
            progress.read(to.size());
        }
    }

    /** A client's connection: one request at a time. */
    static final class Client implements Closeable {
        final Socket socket;
        private final InputStream in;
        private final OutputStream out;

        Client(int port) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(HOST, port), 2000);
            in = new BufferedInputStream(socket.getInputStream());
            out = socket.getOutputStream();
        }

        void send(String method, String path, Map<String, String> headers, byte[] body)
                throws IOException {
            sendHead(method, path, headers, body.length);
            out.write(body);
        }

        void sendHead(String method, String path, Map<String, String> headers, int length)
                throws IOException {
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            head.append("Host: backend.local\r\n");
            headers.forEach((name, value) -> head.append(name + ": " + value + "\r\n"));
            if (!method.equals("GET")) {
                head.append("Content-Length: " + length + "\r\n");
            }
            out.write((head + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
        }

        void write(byte[] bytes, int from, int length) throws IOException {
            out.write(bytes, from, length);
        }

        /** Reads a response; throws SocketTimeoutException if it has not come in time. */
        Message read(long timeoutMs) throws IOException {
            socket.setSoTimeout((int) Math.max(1, timeoutMs));
            Message message = readHead(in);
            if (message == null) {
                throw new EOFException("the connection was closed with no answer");
            }
            message.status = Integer.parseInt(message.startLine.split(" ")[1]);
            readBody(in, message, read -> {});
            return message;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    /** The header fields of a client's request. */
    static Map<String, String> fields(String id, String requestClass, String key, long expiresMs) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("X-Trace-Id", id);
        fields.put("X-Qos", requestClass);
        fields.put("X-Expires-In-Ms", Long.toString(expiresMs));
        if (key != null) {
            fields.put("Idempotency-Key", key);
        }
        return fields;
    }

    /** Discovery: the whole list, and a watch that waits until there is something newer. */
    final class Discovery implements Closeable {
        final int port;
        private final ServerSocket listener;
        private final List<String> entries = new ArrayList<>();
        private int version = 1;

        Discovery() throws IOException {
            listener = new ServerSocket(0, 200, InetAddress.getByName(HOST));
            port = listener.getLocalPort();
            daemon(this::accept);
        }

        void list(Server server, String zone) {
            list(server.name, server.port, zone);
        }

        synchronized void list(String name, int port, String zone) {
            entries.add(
                    String.format(
                            "{\"host\":\"%s\",\"dial\":\"%s:%d\",\"site\":\"%s\",\"class\":\"std-1\","
                                    + "\"block\":0,\"health\":\"in_service\",\"share\":1.0,"
                                    + "\"born_ms\":0}",
                            name, HOST, port, zone));
        }

        synchronized String list(boolean whole) {
            return String.format(
                    "{\"seq\":%d,\"whole\":%s,\"hosts\":[%s]}",
                    version, whole, whole ? String.join(",", entries) : "");
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    daemon(() -> serve(socket));
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                for (Message call = readHead(in); call != null; call = readHead(in)) {
                    Matcher watch =
                            Pattern.compile("after=(\\d+)&wait_ms=(\\d+)").matcher(call.startLine);
                    boolean changesOnly = watch.find() && Integer.parseInt(watch.group(1)) == version;
                    if (changesOnly) {
                        sleep(Long.parseLong(watch.group(2)));
                    }
                    respond(socket.getOutputStream(), 200, "", list(!changesOnly));
                }
            } catch (IOException e) {
                // The node has closed it.
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }

    static void respond(OutputStream out, int status, String headers, String body)
            throws IOException {
        out.write(response(status, headers, body));
        out.flush();
    }

    static byte[] response(int status, String headers, String body) {
        String head =
                "HTTP/1.1 " + status + " X\r\n" + headers + "Content-Length: " + body.length();
        return (head + "\r\n\r\n" + body).getBytes(StandardCharsets.ISO_8859_1);
    }

    /** A server: one core, a bounded queue, load reports in answers, probes. */
    class Server implements Closeable {
        final String name;
        final int port;
        final AtomicInteger held = new AtomicInteger();
        private final Semaphore core = new Semaphore(1, true);
        private final ServerSocket listener;
        private final int queue;
        private final double workMs;
        private final List<Socket> sockets = new ArrayList<>();

        Server(String name, int queue, double workMs) throws IOException {
            this.name = name;
            this.queue = queue;
            this.workMs = workMs;
            listener = new ServerSocket(0, 200, InetAddress.getByName(HOST));
            port = listener.getLocalPort();
            daemon(this::accept);
        }

        private void accept() {
            try {
                while (true) {
                    Socket socket = listener.accept();
                    synchronized (sockets) {
                        sockets.add(socket);
                    }
                    daemon(() -> serve(socket));
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream(), 32 * 1024);
                for (Message request = readHead(in); request != null; request = readHead(in)) {
                    Message current = request;
                    headReceived(current);
                    readBody(in, current, bytes -> bodyProgress(current, bytes));
                    if (current.startLine.startsWith("GET /stats")) {
                        beforeProbe();
                        respond(socket.getOutputStream(), 200, loadHeader(), load());
                    } else {
                        handle(socket, in, current);
                    }
                }
            } catch (IOException e) {
                connectionFailed(e);
            }
        }

        private String load() {
            int now = held.get();
            return String.format(
                    Locale.ROOT,
                    "TEXT inflight=%d, queue=%d, util=%.2f",
                    now,
                    Math.max(0, now - 1),
                    now > 0 ? 0.9 : 0.1);
        }

        String loadHeader() {
            return "Endpoint-Load-Metrics: " + load() + "\r\n";
        }

        void headReceived(Message request) throws IOException {}

        void bodyProgress(Message request, long bytes) throws IOException {}

        void beforeProbe() throws IOException {}

        void connectionFailed(IOException e) {}

        void handle(Socket socket, InputStream in, Message request) throws IOException {
            if (held.incrementAndGet() > queue + 1) {
                held.decrementAndGet();
                respond(socket.getOutputStream(), 503, "X-Never-Ran: 1\r\n" + loadHeader(), "");
                return;
            }
            String id = request.header("x-trace-id");
            log(name + " begins " + id);
            core.acquireUninterruptibly();
            run(request);
            sleep(workMs);
            core.release();
            held.decrementAndGet();
            answer(socket, in, request, response(200, loadHeader(), bodyFor(id)));
        }

        String bodyFor(String id) {
            return "the answer to " + id;
        }

        void run(Message request) {}

        void answer(Socket socket, InputStream in, Message request, byte[] response)
                throws IOException {
            log(name + " answers " + request.header("x-trace-id"));
            socket.getOutputStream().write(response);
        }

        @Override
        public void close() throws IOException {
            listener.close();
            synchronized (sockets) {
                for (Socket each : sockets) {
                    each.close();
                }
            }
        }
    }

    /** A way of some length: passes bytes on, in both directions, after a time. */
    final class Relay implements Closeable {
        final int port;
        private final ServerSocket listener;
        private final int to;
        private final double oneWayMs;

        Relay(int to, double oneWayMs) throws IOException {
            this.to = to;
            this.oneWayMs = oneWayMs;
            listener = new ServerSocket(0, 200, InetAddress.getByName(HOST));
            port = listener.getLocalPort();
            daemon(this::accept);
        }

        private void accept() {
            try {
                while (true) {
                    Socket near = listener.accept();
                    Socket far = new Socket(HOST, to);
                    near.setTcpNoDelay(true);
                    far.setTcpNoDelay(true);
                    daemon(() -> pass(near, far));
                    daemon(() -> pass(far, near));
                }
            } catch (IOException e) {
                // Closed.
            }
        }

        private void pass(Socket from, Socket into) {
            byte[] bytes = new byte[64 * 1024];
            try (from;
                    into) {
                InputStream in = from.getInputStream();
                for (int count = in.read(bytes); count >= 0; count = in.read(bytes)) {
                    sleep(oneWayMs);
                    into.getOutputStream().write(bytes, 0, count);
                }
            } catch (IOException e) {
                // Both ends are closed.
            }
        }

        @Override
        public void close() throws IOException {
            listener.close();
        }
    }
}
