// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.endpointJson;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import ottergauge.program.RunningNode.Client;
import ottergauge.protocol.TestConfig;

/** The program as one of 1,024 nodes with 1,024 servers. */
@Timeout(120)
class ManyServersIT {

    private static final int SERVER_COUNT = 1024;
    // The design size of a list, 1.5 MB.
    private static final int LARGE_SERVER_COUNT = 8_000;
    private static final String UNREACHABLE = "127.0.0.1:1";
    // The memory that the platform allows at most; the test's settings name the same limit.
    private static final long MEMORY_LIMIT_KB = 192 * 1024;

    @TempDir private Path folder;

    private static String[] all(String dial) {
        return all(SERVER_COUNT, dial);
    }

    private static String[] all(int servers, String dial) {
        return IntStream.range(0, servers)
                .mapToObj(i -> endpointJson("server-of-some-longer-name-" + i, dial, "in_service"))
                .toArray(String[]::new);
    }

    /**
     * A line for each field and a space after each colon, as a registry formats it for human
     * readers.
     */
    private static String indented(String json) {
        return json.replace(",", ",\n        ").replace(":[", " : [\n    ").replace("\":", "\" : ");
    }

    /**
     * Guards against a size limit below the size of a list of 1,024 servers, and against a list
     * that arrives in pieces of irregular size.
     */
    @Test
    void indentedListOf1024ServersInSmallPiecesIsReadAndUsed() throws Exception {
        try (StubServer server = StubServer.queryControlled();
                StubServer discovery =
                        new StubServer(
                                (request, connection) -> {
                                    if (!request.target().contains("after=42")) {
                                        byte[] reply =
                                                HttpMessage.response(
                                                        200,
                                                        "",
                                                        indented(
                                                                TestConfig.list(
                                                                        42,
                                                                        true,
                                                                        all(server.address()))));
                                        OutputStream out = connection.getOutputStream();
                                        int piece = 1;
                                        for (int at = 0;
                                                at < reply.length;
                                                at += piece, piece = piece * 5 % 16_381) {
                                            out.write(
                                                    reply, at, Math.min(piece, reply.length - at));
                                            out.flush();
                                        }
                                    }
                                    return true;
                                });
                RunningNode node =
                        RunningNode.ready(
                                folder,
                                new TestConfig()
                                        .probingNodes(SERVER_COUNT, 0.002)
                                        .withEndpoints(all(UNREACHABLE)),
                                discovery.address());
                Client client = node.client()) {
            assertTrue(discovery.requests.take().target().contains("after=41"));
            assertTrue(
                    discovery.requests.take().target().contains("after=42"),
                    "the list was not read");
            for (int i = 0; i < 100; i++) {
                assertEquals(200, client.exchange(Client.request("read", "ok", "")).status());
            }
            assertTrue(peakMemoryKb(node) < MEMORY_LIMIT_KB, "needs " + peakMemoryKb(node) + " KB");
            assertEquals(
                    0,
                    node.log().lines().filter(line -> line.contains("ERROR")).count(),
                    node.log());
        }
    }

    /**
     * Guards against a complete list of over 1 MiB that was never accepted and requested again
     * forever.
     */
    @Test
    void listOf8000ServersIsReadAndUsed() throws Exception {
        try (StubServer server = StubServer.queryControlled();
                StubServer discovery =
                        new StubServer(
                                (request, connection) -> {
                                    if (!request.target().contains("after=42")) {
                                        connection
                                                .getOutputStream()
                                                .write(
                                                        HttpMessage.response(
                                                                200,
                                                                "",
                                                                TestConfig.list(
                                                                        42,
                                                                        true,
                                                                        all(
                                                                                LARGE_SERVER_COUNT,
                                                                                server
                                                                                        .address()))));
                                    }
                                    return true;
                                });
                RunningNode node =
                        RunningNode.ready(
                                folder,
                                new TestConfig()
                                        .probingNodes(780, 0.002)
                                        .withEndpoints(
                                                endpointJson("s-1", UNREACHABLE, "in_service")),
                                discovery.address());
                Client client = node.client()) {
            assertTrue(discovery.requests.take().target().contains("after=41"));
            assertTrue(
                    discovery.requests.take().target().contains("after=42"),
                    "the list was not read");
            assertEquals(200, client.exchange(Client.request("read", "ok", "")).status());
            assertTrue(peakMemoryKb(node) < MEMORY_LIMIT_KB, "needs " + peakMemoryKb(node) + " KB");
        }
    }

    /**
     * A list that is too large is logged with its size and the limit, and the previous one stays in
     * effect.
     */
    @Test
    void listOverTheSizeLimitIsLoggedAndLeavesThePreviousListInEffect() throws Exception {
        long size = 1L << 30;
        try (StubServer server = StubServer.queryControlled();
                StubServer discovery =
                        new StubServer(
                                (request, connection) -> {
                                    connection
                                            .getOutputStream()
                                            .write(
                                                    ("HTTP/1.1 200 OK\r\nContent-Length: "
                                                                    + size
                                                                    + "\r\n\r\n{")
                                                            .getBytes(StandardCharsets.US_ASCII));
                                    return true;
                                });
                RunningNode node =
                        RunningNode.ready(
                                folder,
                                new TestConfig()
                                        .withEndpoints(
                                                endpointJson(
                                                        "s-1", server.address(), "in_service")),
                                discovery.address());
                Client client = node.client()) {
            node.awaitLog(
                    "the endpoint list of " + size + " bytes exceeds the limit of 12582912 bytes");
            assertEquals(200, client.exchange(Client.request("read", "ok", "")).status());
        }
    }

    private static long peakMemoryKb(RunningNode node) throws IOException {
        String resident =
                Files.readAllLines(Path.of("/proc/" + node.process.pid() + "/status")).stream()
                        .filter(line -> line.startsWith("VmHWM"))
                        .findFirst()
                        .orElseThrow();
        return Long.parseLong(resident.replaceAll("\\D", ""));
    }
}
