// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import ottergauge.protocol.TestConfig;

/**
 * The program, started by the line {@code run} of deploy/balancer.toml, with its log kept in a
 * file.
 */
final class RunningNode implements AutoCloseable {

    private static final long PATIENCE_S = 30;
    private static final Path CHECKOUT = Path.of(".");
    private static final AtomicLong START = new AtomicLong();
    private static final AtomicLong LAST_ID = new AtomicLong();

    final Process process;
    private final int port;
    private final Path file;
    private final Path log;

    private RunningNode(Process process, int port, Path file, Path log) {
        this.process = process;
        this.port = port;
        this.file = file;
        this.log = log;
    }

    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return probe.getLocalPort();
        }
    }

    /** Starts a node and waits until it is ready. */
    static RunningNode ready(Path folder, TestConfig config, String discovery) throws Exception {
        return ready(folder, config, discovery, freePort());
    }

    /** The same at a port that another process of this node may share. */
    static RunningNode ready(Path folder, TestConfig config, String discovery, int port)
            throws Exception {
        return ready(CHECKOUT, folder, config, discovery, port);
    }

    /** The same of the version that is built in another checkout. */
    static RunningNode ready(
            Path checkout, Path folder, TestConfig config, String discovery, int port)
            throws Exception {
        String json = config.withAddresses("127.0.0.1:" + port, discovery).json();
        Path file = Files.writeString(folder.resolve("config.json"), json);
        RunningNode node = start(checkout, "", folder, file, port);
        node.awaitLog("listens on");
        node.await(
                "ready",
                () -> {
                    try (Client client = node.client()) {
                        return client.ask("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n").status()
                                == 200;
                    } catch (IOException e) {
                        return false;
                    }
                });
        return node;
    }

    static RunningNode start(Path folder, String config, int port) throws IOException {
        return start(folder, Files.writeString(folder.resolve("config.json"), config), port);
    }

    /** Starts a node whose configuration comes through a pipe, when the test writes it. */
    static RunningNode fromPipe(Path folder, int port) throws IOException, InterruptedException {
        Path pipe = folder.resolve("config.pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        return start(folder, pipe, port);
    }

    /** The writing end: it is there once the node reads its configuration. */
    OutputStream configPipe() throws IOException {
        return Files.newOutputStream(file);
    }

    /** Starts a node by a shell that runs this first. */
    static RunningNode startAfter(String first, Path folder, String config, int port)
            throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        return start(CHECKOUT, first, folder, file, port);
    }

    private static RunningNode start(Path folder, Path file, int port) throws IOException {
        return start(CHECKOUT, "", folder, file, port);
    }

    private static RunningNode start(Path checkout, String first, Path folder, Path file, int port)
            throws IOException {
        Path log = folder.resolve("log-" + START.incrementAndGet());
        Matcher run =
                Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE)
                        .matcher(Files.readString(checkout.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            return fail("no run line");
        }
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", first + run.group(1))
                        .directory(checkout.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(log.toFile());
        builder.environment().put("BALANCER_CONFIG", file.toString());
        // Of the node and not of the process, as the platform has it.
        builder.environment().put("TMPDIR", folder.toString());
        return new RunningNode(builder.start(), port, file, log);
    }

    /** Waits for something to become true, looking often. */
    void await(String what, BooleanSupplier condition) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(PATIENCE_S);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > until || !process.isAlive()) {
                fail("not " + what + "; log:\n" + log());
            }
            Thread.sleep(10);
        }
    }

    String log() {
        try {
            return Files.readString(log);
        } catch (IOException e) {
            return "";
        }
    }

    void awaitLog(String text) throws Exception {
        await("logged: " + text, () -> log().contains(text));
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Replaces the configuration and sends SIGHUP. */
    void hangUp(String config) throws IOException, InterruptedException {
        Files.writeString(file, config);
        signal("HUP");
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Stops it, and waits until each of its threads stands still. */
    void standStill() throws Exception {
        signal("STOP");
        Path tasks = Path.of("/proc", Long.toString(process.pid()), "task");
        await(
                "stopped",
                () -> {
                    try (Stream<Path> each = Files.list(tasks)) {
                        return each.allMatch(RunningNode::isStopped);
                    } catch (IOException e) {
                        return false;
                    }
                });
    }

    private static boolean isStopped(Path task) {
        try {
            String stat = Files.readString(task.resolve("stat"));
            return stat.charAt(stat.lastIndexOf(')') + 2) == 'T';
        } catch (IOException e) {
            // It has ended meanwhile.
            return true;
        }
    }

    void goOn() throws IOException, InterruptedException {
        signal("CONT");
    }

    Client client() throws IOException {
        return new Client(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    int exitCode() throws InterruptedException {
        if (!process.waitFor(PATIENCE_S, TimeUnit.SECONDS)) {
            fail("still running; log:\n" + log());
        }
        return process.exitValue();
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }

    /** A client's connection. */
    record Client(Socket socket) implements AutoCloseable {

        void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        }

        /** Reads an answer; null if the node has closed the connection. */
        HttpMessage read() throws IOException {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_S));
            return HttpMessage.read(socket.getInputStream());
        }

        HttpMessage ask(String request) throws IOException {
            write(request);
            HttpMessage answer = read();
            if (answer == null) {
                throw new IOException("closed with no answer");
            }
            return answer;
        }

        /** A request of a class that asks its server to do this. */
        static String request(String requestClass, String wish, String body) {
            return request(requestClass, Long.toHexString(LAST_ID.incrementAndGet()), wish, body);
        }

        static String request(String requestClass, String id, String wish, String body) {
            String head =
                    " /api?do="
                            + wish
                            + " HTTP/1.1\r\nHost: backend.local\r\nX-Trace-Id: "
                            + id
                            + "\r\nX-Qos: "
                            + requestClass
                            + "\r\nX-Expires-In-Ms: 900\r\n";
            return "read".equals(requestClass)
                    ? "GET" + head + "\r\n"
                    : "POST"
                            + head
                            + ("pay".equals(requestClass) ? "Idempotency-Key: 5c0f\r\n" : "")
                            + "Content-Length: "
                            + body.length()
                            + "\r\n\r\n"
                            + body;
        }

        boolean atEnd() throws IOException {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(PATIENCE_S));
            try {
                return socket.getInputStream().read() < 0;
            } catch (SocketException e) {
                // A connection that is closed with something unread ends as a reset.
                return true;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
