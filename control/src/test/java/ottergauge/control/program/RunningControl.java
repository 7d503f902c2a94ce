// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.program;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.Submission;
import ottergauge.settings.JsonTree;

/** A process that runs the packaged jar and writes its output to a file. */
final class RunningControl implements AutoCloseable {

    private static final long TIMEOUT_S = 60;
    private static final Path JAR =
            Path.of(System.getProperty("control.jar", "target/ottergauge-control.jar"));
    private static final AtomicLong START = new AtomicLong();
    private static final HttpClient HTTP =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();

    final Process process;
    private final Path output;
    private final int port;

    private RunningControl(Process process, Path output, int port) {
        this.process = process;
        this.output = output;
        this.port = port;
    }

    /** Returns a port that is currently free. */
    static int freePort() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return probe.getLocalPort();
        }
    }

    /**
     * Starts a control process and waits until it listens. Its configuration has these keys in
     * addition to its name and address.
     */
    static RunningControl serving(Path folder, String moreKeys) throws Exception {
        return serving(folder, freePort(), moreKeys);
    }

    static RunningControl serving(Path folder, int port, String moreKeys) throws Exception {
        RunningControl control = starting(folder, port, moreKeys);
        control.awaitOutput("listening on");
        return control;
    }

    /** Starts a control process without waiting until it listens. */
    static RunningControl starting(Path folder, int port, String moreKeys) throws IOException {
        String config = "{\"name\":\"c1\",\"listen\":\"127.0.0.1:" + port + "\"" + moreKeys + "}";
        Path file =
                Files.writeString(
                        folder.resolve("config-" + START.incrementAndGet() + ".json"), config);
        return start(folder, port, "serve", "--config", file.toString());
    }

    /** Starts the program with these arguments. */
    static RunningControl start(Path folder, int port, String... arguments) throws IOException {
        Path output = folder.resolve("output-" + START.incrementAndGet());
        List<String> command =
                new ArrayList<>(
                        List.of("java", "-XX:+UseSerialGC", "-Xmx256m", "-jar", JAR.toString()));
        command.addAll(Arrays.asList(arguments));
        Process process =
                new ProcessBuilder(command)
                        .redirectErrorStream(true)
                        .redirectOutput(output.toFile())
                        .start();
        return new RunningControl(process, output, port);
    }

    /** Runs a tool and waits until it exits. */
    static RunningControl run(Path folder, String... arguments) throws Exception {
        RunningControl tool = start(folder, 0, arguments);
        tool.exitCode();
        return tool;
    }

    int port() {
        return port;
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    /** Waits until a condition holds. */
    void await(String what, BooleanSupplier condition) throws InterruptedException {
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() > until || !process.isAlive()) {
                fail("not " + what + "; output:\n" + output());
            }
            Thread.sleep(10);
        }
    }

    void awaitOutput(String text) throws InterruptedException {
        await("written: " + text, () -> output().contains(text));
    }

    String output() {
        try {
            return Files.readString(output);
        } catch (IOException e) {
            return "";
        }
    }

    int exitCode() throws InterruptedException {
        if (!process.waitFor(TIMEOUT_S, TimeUnit.SECONDS)) {
            fail("still running; output:\n" + output());
        }
        return process.exitValue();
    }

    void terminate() {
        process.destroy();
    }

    void kill() throws InterruptedException {
        process.destroyForcibly().waitFor(TIMEOUT_S, TimeUnit.SECONDS);
    }

    HttpResponse<String> get(String path) throws IOException, InterruptedException {
        return HTTP.send(request(path).GET().build(), BodyHandlers.ofString());
    }

    /** Sends a request without waiting for the response. */
    CompletableFuture<HttpResponse<String>> getLater(String path) {
        return HTTP.sendAsync(request(path).GET().build(), BodyHandlers.ofString());
    }

    HttpResponse<String> post(String body) throws IOException, InterruptedException {
        HttpRequest request =
                request("/control/v1/changes").POST(BodyPublishers.ofString(body)).build();
        return HTTP.send(request, BodyHandlers.ofString());
    }

    private HttpRequest.Builder request(String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address() + path))
                .timeout(Duration.ofSeconds(TIMEOUT_S));
    }

    /** Publishes a submission, which has to be accepted. */
    LogPosition publish(Submission submission)
            throws IOException, InterruptedException, ProtocolException {
        HttpResponse<String> response = post(new String(ResourceCodec.write(submission), UTF_8));
        assertEquals(200, response.statusCode(), response.body());
        return ResourceCodec.readPosition(response.body().getBytes(UTF_8));
    }

    LogPosition position() throws IOException, InterruptedException {
        var status = JsonTree.read(get("/control/v1/status").body().getBytes(UTF_8));
        return new LogPosition(
                (String) status.get("log"), ((Double) status.get("version")).longValue());
    }

    Socket connect() throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setSoTimeout((int) TimeUnit.SECONDS.toMillis(TIMEOUT_S));
        return socket;
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}
