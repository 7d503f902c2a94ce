// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.node;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import ottergauge.capacity.workload.Loopback;
import ottergauge.capacity.workload.NodeConfiguration;
import ottergauge.protocol.Address;
import ottergauge.protocol.Paths;

/**
 * A node process, started as operators start it, with its CPU time and memory as the operating
 * system reports them.
 */
public final class NodeProcess implements AutoCloseable {

    private static final long READY_TIMEOUT_MS = 30_000;
    private static final long POLL_INTERVAL_MS = 2;
    private static final int RESPONSE_TIMEOUT_MS = 1_000;
    private static final long EXIT_TIMEOUT_S = 5;
    private static final int LOG_TAIL_CHARS = 1_000;
    private static final String READY = "HTTP/1.1 200";

    private final Process process;
    private final Address address;
    private final Path log;
    private final long startedAt;

    private NodeProcess(Process process, Address address, Path log, long startedAt) {
        this.process = process;
        this.address = address;
        this.log = log;
        this.startedAt = startedAt;
    }

    /** Returns a loopback address whose port was free a moment ago. */
    public static Address freeAddress() throws IOException {
        try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return Loopback.port(probe.getLocalPort());
        }
    }

    /** Starts a node in the program's root folder, with its files in {@code folder}. */
    public static NodeProcess start(
            RunLine run, Path root, Path folder, NodeConfiguration configuration)
            throws IOException {
        Path file = Files.write(folder.resolve("config.json"), configuration.json());
        Path log = folder.resolve("log");
        ProcessBuilder builder =
                new ProcessBuilder("/bin/sh", "-c", run.command())
                        .directory(root.toFile())
                        .redirectErrorStream(true)
                        .redirectOutput(log.toFile());
        builder.environment().put("BALANCER_CONFIG", file.toAbsolutePath().toString());
        builder.environment().put("TMPDIR", folder.toAbsolutePath().toString());
        builder.environment().remove("BALANCER_MANAGEMENT");
        long startedAt = System.nanoTime();
        return new NodeProcess(builder.start(), configuration.listen(), log, startedAt);
    }

    /** Waits until the node is ready and returns the time since its start. */
    public Duration awaitReady() throws IOException, InterruptedException {
        long deadline = startedAt + TimeUnit.MILLISECONDS.toNanos(READY_TIMEOUT_MS);
        while (!isReady()) {
            if (System.nanoTime() > deadline || !process.isAlive()) {
                throw new IOException("the node is not ready; its log ends with: " + logTail());
            }
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        return Duration.ofNanos(System.nanoTime() - startedAt);
    }

    private boolean isReady() {
        try (Socket connection = new Socket(address.host(), address.port())) {
            connection.setSoTimeout(RESPONSE_TIMEOUT_MS);
            connection
                    .getOutputStream()
                    .write(
                            ("GET "
                                            + Paths.READY
                                            + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                                    .getBytes(StandardCharsets.US_ASCII));
            String status =
                    new BufferedReader(
                                    new InputStreamReader(
                                            connection.getInputStream(), StandardCharsets.US_ASCII))
                            .readLine();
            return status != null && status.startsWith(READY);
        } catch (IOException e) {
            // The node does not listen yet, or did not answer in time.
            return false;
        }
    }

    /** Returns the address on which the node listens for clients. */
    public Address address() {
        return address;
    }

    /** Returns the CPU time that the process has used. */
    public Duration cpu() throws IOException {
        Optional<Duration> spent = process.info().totalCpuDuration();
        if (spent.isEmpty()) {
            throw new IOException("the node has ended; its log ends with: " + logTail());
        }
        return spent.get();
    }

    /** Returns the current resident memory of the process in bytes. */
    public long residentBytes() throws IOException {
        return status("VmRSS:");
    }

    /** Returns the peak resident memory of the process in bytes. */
    public long peakResidentBytes() throws IOException {
        return status("VmHWM:");
    }

    private long status(String field) throws IOException {
        Path status = Path.of("/proc", Long.toString(process.pid()), "status");
        String line =
                Files.readAllLines(status).stream()
                        .filter(each -> each.startsWith(field))
                        .findFirst()
                        .orElseThrow(() -> new IOException(status + " has no " + field));
        return Long.parseLong(line.replaceAll("\\D", "")) * 1024;
    }

    private String logTail() throws IOException {
        String text = Files.readString(log);
        return text.substring(Math.max(0, text.length() - LOG_TAIL_CHARS));
    }

    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(EXIT_TIMEOUT_S, TimeUnit.SECONDS)) {
                process.destroyForcibly().waitFor();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}
