// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.endpointJson;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import ottergauge.protocol.TestConfig;
import ottergauge.settings.JsonTree;

/** Runs the hollow command against a stub discovery server and reads its report. */
@Timeout(60)
class HollowCommandIT {

    private static final long TIMEOUT_S = 30;
    private static final int NODES = 3;

    @TempDir private Path folder;

    /** A process of hollow nodes and the events that it reports. */
    private final class Fleet implements AutoCloseable {
        private final Process process;
        private final BlockingQueue<Map<String, Object>> lines = new LinkedBlockingQueue<>();
        private final Path log = folder.resolve("log");

        Fleet(String config, String... options) throws IOException {
            Path file = Files.writeString(folder.resolve("config.json"), config);
            List<String> command =
                    new ArrayList<>(
                            List.of(
                                    "java",
                                    "-Xmx96m",
                                    "-jar",
                                    "target/ottergauge.jar",
                                    "hollow",
                                    "--config",
                                    file.toString()));
            command.addAll(List.of(options));
            process = new ProcessBuilder(command).redirectError(log.toFile()).start();
            Thread reader = new Thread(this::read, "reader");
            reader.setDaemon(true);
            reader.start();
        }

        private void read() {
            try (BufferedReader in =
                    new BufferedReader(
                            new InputStreamReader(
                                    process.getInputStream(), StandardCharsets.UTF_8))) {
                for (String line = in.readLine(); line != null; line = in.readLine()) {
                    lines.add(JsonTree.read(line.getBytes(StandardCharsets.UTF_8)));
                }
            } catch (IOException e) {
                // The process has ended.
            }
        }

        void sendCommand(String line) throws IOException {
            process.getOutputStream().write((line + "\n").getBytes(StandardCharsets.US_ASCII));
            process.getOutputStream().flush();
        }

        /** Waits for a matching event and skips the others. */
        Map<String, Object> await(String event, Predicate<Map<String, Object>> fits)
                throws Exception {
            long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(TIMEOUT_S);
            while (System.nanoTime() < until) {
                Map<String, Object> line = lines.poll(100, TimeUnit.MILLISECONDS);
                if (line != null && event.equals(line.get("event")) && fits.test(line)) {
                    return line;
                }
            }
            throw new AssertionError("not reported: " + event + "; log:\n" + Files.readString(log));
        }

        @Override
        public void close() {
            process.destroyForcibly();
        }
    }

    private static String config(StubServer discovery) {
        return new TestConfig()
                .withAddresses("127.0.0.1:1", discovery.address())
                .json()
                .replace("\"seq\":41", "\"seq\":0");
    }

    /**
     * Discovery that lists two servers at version 41, one of which drains at version 42; there are
     * no later changes.
     */
    private static StubServer discovery(AtomicLong bytes) throws IOException {
        return discovery(bytes, false);
    }

    /**
     * The same; with {@code respondsToAll} it responds at once to polls for which there is no
     * change.
     */
    private static StubServer discovery(AtomicLong bytes, boolean respondsToAll)
            throws IOException {
        return new StubServer(
                (request, connection) -> {
                    if (request.target().contains("after=0&")) {
                        send(
                                connection,
                                bytes,
                                TestConfig.list(
                                        41,
                                        true,
                                        endpointJson("s-1", "127.0.0.1:1", "in_service"),
                                        endpointJson("s-2", "127.0.0.1:2", "in_service")));
                    } else if (request.target().contains("after=41&")) {
                        send(
                                connection,
                                bytes,
                                TestConfig.list(
                                        42,
                                        false,
                                        endpointJson("s-2", "127.0.0.1:2", "terminating")));
                    } else if (respondsToAll) {
                        send(connection, bytes, TestConfig.list(42, false));
                    }
                    return true;
                });
    }

    private static void send(Socket connection, AtomicLong bytes, String list) throws IOException {
        byte[] reply = HttpMessage.response(200, "", list);
        bytes.addAndGet(reply.length);
        connection.getOutputStream().write(reply);
    }

    private static String digest(String text) throws Exception {
        byte[] digest =
                MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
        return HexFormat.of().formatHex(digest, 0, 8);
    }

    @Test
    void eachNodeFollowsTheListAndReportsTheVersionInEffect() throws Exception {
        AtomicLong bytes = new AtomicLong();
        try (StubServer discovery = discovery(bytes);
                Fleet fleet =
                        new Fleet(
                                config(discovery),
                                "--count",
                                "" + NODES,
                                "--from",
                                "5",
                                "--loops",
                                "2")) {
            assertEquals((double) NODES, fleet.await("started", line -> true).get("nodes"));
            Map<Object, List<Double>> versions = new HashMap<>();
            while (versions.values().stream().filter(each -> each.contains(42.0)).count() < NODES) {
                Map<String, Object> line = fleet.await("in-force", each -> true);
                versions.computeIfAbsent(line.get("node"), each -> new ArrayList<>())
                        .add((Double) line.get("version"));
                assertEquals(line.get("version").equals(41.0), line.get("whole"));
                assertEquals(line.get("version").equals(41.0) ? 2.0 : 1.0, line.get("entries"));
            }
            assertEquals(
                    Map.of(
                            "h5",
                            List.of(41.0, 42.0),
                            "h6",
                            List.of(41.0, 42.0),
                            "h7",
                            List.of(41.0, 42.0)),
                    versions);
            fleet.sendCommand("servers");
            for (int i = 0; i < NODES; i++) {
                Map<String, Object> servers = fleet.await("servers", line -> true);
                assertEquals(2.0, servers.get("count"));
                assertEquals(digest("s-1 used\ns-2 draining\n"), servers.get("digest"));
            }
        }
    }

    @Test
    void allBytesAndPollsAreCounted() throws Exception {
        AtomicLong bytes = new AtomicLong();
        try (StubServer discovery = discovery(bytes);
                Fleet fleet = new Fleet(config(discovery), "--count", "1")) {
            long in = 0;
            long out = 0;
            double polls = 0;
            while (polls < 3 || in < bytes.get() || out == 0) {
                Map<String, Object> line = fleet.await("traffic", each -> true);
                in += ((Double) line.get("in")).longValue();
                out += ((Double) line.get("out")).longValue();
                polls = discovery.requests.size();
            }
            assertEquals(bytes.get(), in);
            long targetBytes =
                    discovery.requests.stream()
                            .limit(3)
                            .mapToLong(each -> each.target().length())
                            .sum();
            assertTrue(out > targetBytes, out + " bytes out for " + targetBytes + " of targets");
            fleet.sendCommand("restart");
            fleet.await(
                    "calls",
                    line -> "whole".equals(line.get("kind")) && line.get("count").equals(1.0));
        }
    }

    /** Guards against nodes that keep a connection or the list when they are restarted. */
    @Test
    void restartDropsConnectionsAndState() throws Exception {
        // No poll times out here: only the restart ends connections.
        try (StubServer discovery = discovery(new AtomicLong(), true);
                Fleet fleet = new Fleet(config(discovery), "--count", "" + NODES)) {
            for (int i = 0; i < NODES; i++) {
                fleet.await("in-force", line -> line.get("version").equals(42.0));
            }
            fleet.sendCommand("restart");
            for (int i = 0; i < NODES; i++) {
                assertNotNull(
                        discovery.endedConnections.poll(TIMEOUT_S, TimeUnit.SECONDS),
                        "a connection was kept");
            }
            for (int i = 0; i < NODES; i++) {
                fleet.await(
                        "in-force",
                        line ->
                                line.get("version").equals(41.0)
                                        && Boolean.TRUE.equals(line.get("whole")));
            }
        }
    }

    /** Guards against processes that keep running when their parent process is killed. */
    @Test
    void processExitsAtTheEndOfItsInputAndListensNowhere() throws Exception {
        try (StubServer discovery = discovery(new AtomicLong());
                Fleet fleet = new Fleet(config(discovery), "--count", "" + NODES)) {
            fleet.await("in-force", line -> line.get("version").equals(42.0));
            assertFalse(listens(fleet.process.pid()));
            assertTrue(
                    listens(ProcessHandle.current().pid()), "the check itself detects no listener");
            fleet.process.getOutputStream().close();
            assertTrue(fleet.process.waitFor(TIMEOUT_S, TimeUnit.SECONDS));
            assertEquals(0, fleet.process.exitValue());
        }
    }

    private static boolean listens(long pid) throws IOException {
        List<String> sockets = new ArrayList<>();
        try (Stream<Path> descriptors = Files.list(Path.of("/proc/" + pid + "/fd"))) {
            for (Path each : descriptors.toList()) {
                if (Files.isSymbolicLink(each)) {
                    sockets.add(Files.readSymbolicLink(each).toString());
                }
            }
        }
        List<String> connections = new ArrayList<>(Files.readAllLines(Path.of("/proc/net/tcp")));
        connections.addAll(Files.readAllLines(Path.of("/proc/net/tcp6")));
        return connections.stream()
                .map(line -> line.trim().split("\\s+"))
                .anyMatch(
                        fields ->
                                "0A".equals(fields[3])
                                        && sockets.contains("socket:[" + fields[9] + "]"));
    }

    @Test
    void invalidOptionAndInvalidConfigurationAreReported() throws Exception {
        try (StubServer discovery = discovery(new AtomicLong())) {
            try (Fleet fleet = new Fleet(config(discovery), "--count", "0")) {
                assertEquals(2, fleet.process.waitFor());
                assertTrue(
                        Files.readString(fleet.log)
                                .contains("--count: a whole number from 1 to 2000"));
            }
            try (Fleet fleet = new Fleet("{}", "--count", "1")) {
                assertEquals(1, fleet.process.waitFor());
                assertTrue(Files.readString(fleet.log).contains("invalid configuration"));
            }
        }
    }
}
