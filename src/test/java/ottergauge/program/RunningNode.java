// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
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
 * A process of the program, started by the line {@code run} of deploy/balancer.toml, with its log
 * in a file.
 */
final class RunningNode implements AutoCloseable {

    private static final long TIMEOUT_S = 30;
    private static final Path CURRENT_CHECKOUT = Path.of(".");
    private static final AtomicLong LOG_NUMBER = new AtomicLong();
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

    /** The same on a port that another process of this node may share. */
    static RunningNode ready(Path folder, TestConfig config, String discovery, int port)
            throws Exception {
        return ready(CURRENT_CHECKOUT, folder, config, discovery, port);
    }

    /** The same with the version that is built in another checkout. */
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
                        return client.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                                        .status()
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

    /** Starts a node that reads its configuration from a pipe, to which the test writes it. */
    static RunningNode fromPipe(Path folder, int port) throws IOException, InterruptedException {
        Path pipe = folder.resolve("config.pipe");
        assertEquals(0, new ProcessBuilder("mkfifo", pipe.toString()).start().waitFor());
        return start(folder, pipe, port);
    }

    /** Opens the writing end; blocks until the node reads its configuration. */
    OutputStream configPipe() throws IOException {
        return Files.newOutputStream(file);
    }

    /** Starts a node from a shell that runs {@code command} first. */
    static RunningNode startAfterCommand(String command, Path folder, String config, int port)
            throws IOException {
        Path file = Files.writeString(folder.resolve("config.json"), config);
        return start(CURRENT_CHECKOUT, command, folder, file, port);
    }

    private static RunningNode start(Path folder, Path file, int port) throws IOException {
        return start(CURRENT_CHECKOUT, "", folder, file, port);
    }

    private static RunningNode start(
            Path checkout, String command, Path folder, Path file, int port) throws IOException {
        Path log = folder.resolve("log-" + LOG_NUMBER.incrementAndGet());
        Matcher run =
                Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE)
                        .matcher(Files.readString(checkout.resolve("deploy/balancer.toml")));
        if (!run.find()) {
            return fail("no run line");
        }
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", command + run.group(1))
                        .directory(checkout.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(log.toFile());
        builder.environment().put("BALANCER_CONFIG", file.toString());
        // The directory belongs to the node and not to the process, as on the platform.
        builder.environment().put("TMPDIR", folder.toString());
        return new RunningNode(builder.start(), port, file, log);
    }

    /** Waits until a condition is true. */
    void await(String what, BooleanSupplier condition) throws Exception {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
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
    void reload(String config) throws IOException, InterruptedException {
        Files.writeString(file, config);
        signal("HUP");
    }

    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
    }

    /** Stops the process (SIGSTOP) and waits until all of its threads are stopped. */
    void pauseProcess() throws Exception {
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
            // The thread has ended meanwhile.
            return true;
        }
    }

    void resumeProcess() throws IOException, InterruptedException {
        signal("CONT");
    }

    Client client() throws IOException {
        return new Client(new Socket(InetAddress.getLoopbackAddress(), port));
    }

    InetSocketAddress socketAddress() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    int exitCode() throws InterruptedException {
        if (!process.waitFor(TIMEOUT_S, TimeUnit.SECONDS)) {
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

        /** Reads a response; null if the node has closed the connection. */
        HttpMessage read() throws IOException {
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
            return HttpMessage.read(socket.getInputStream());
        }

        HttpMessage exchange(String request) throws IOException {
            write(request);
            HttpMessage reply = read();
            if (reply == null) {
                throw new IOException("closed without a response");
            }
            return reply;
        }

        /** Returns a request of a class, whose query tells a {@link StubServer} what to do. */
        static String request(String requestClass, String action, String body) {
            return request(requestClass, Long.toHexString(LAST_ID.incrementAndGet()), action, body);
        }

        static String request(String requestClass, String id, String action, String body) {
            String head =
                    " /api?do="
                            + action
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
            socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
            try {
                return socket.getInputStream().read() < 0;
            } catch (SocketException e) {
                // Closing a connection with unread bytes resets it.
                return true;
            }
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}
