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

/** The program as one of 1,024 nodes before 1,024 servers. */
@Timeout(120)
class ManyServersIT {

    private static final int MANY = 1024;
    // A list of the size to design for: 1.5 MB.
    private static final int FLEET_AHEAD = 8_000;
    private static final String NOWHERE = "127.0.0.1:1";
    // What the platform's days allow at the most; the settings of the test say so too.
    private static final long MEMORY_KB = 192 * 1024;

    @TempDir private Path folder;

    private static String[] all(String dial) {
        return all(MANY, dial);
    }

    private static String[] all(int servers, String dial) {
        return IntStream.range(0, servers)
                .mapToObj(i -> endpointJson("server-of-some-longer-name-" + i, dial, "in_service"))
                .toArray(String[]::new);
    }

    /**
     * A line for each field and a blank after each colon, as a registry writes it for people to
     * read.
     */
    private static String indented(String json) {
        return json.replace(",", ",\n        ").replace(":[", " : [\n    ").replace("\":", "\" : ");
    }

    /**
     * Guards against a bound on lists below what 1,024 servers take, and a list that comes in odd
     * pieces.
     */
    @Test
    void aListOf1024ServersIsReadIndentedInOddPiecesAndServedFrom() throws Exception {
        try (StubServer server = StubServer.obedient();
                StubServer discovery =
                        new StubServer(
                                (request, connection) -> {
                                    if (!request.target().contains("after=42")) {
                                        byte[] answer =
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
                                                at < answer.length;
                                                at += piece, piece = piece * 5 % 16_381) {
                                            out.write(
                                                    answer,
                                                    at,
                                                    Math.min(piece, answer.length - at));
                                            out.flush();
                                        }
                                    }
                                    return true;
                                });
                RunningNode node =
                        RunningNode.ready(
                                folder,
                                new TestConfig()
                                        .probingNodes(MANY, 0.002)
                                        .withEndpoints(all(NOWHERE)),
                                discovery.address());
                Client client = node.client()) {
            assertTrue(discovery.requests.take().target().contains("after=41"));
            assertTrue(
                    discovery.requests.take().target().contains("after=42"),
                    "the list was not read");
            for (int i = 0; i < 100; i++) {
                assertEquals(200, client.ask(Client.request("read", "ok", "")).status());
            }
            assertTrue(peakMemoryKb(node) < MEMORY_KB, "needs " + peakMemoryKb(node) + " KB");
            assertEquals(
                    0,
                    node.log().lines().filter(line -> line.contains("ERROR")).count(),
                    node.log());
        }
    }

    /** Guards against a whole list of over 1 MiB that was never read and fetched again for ever. */
    @Test
    void aListOf8000ServersIsReadAndServedFrom() throws Exception {
        try (StubServer server = StubServer.obedient();
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
                                                                                FLEET_AHEAD,
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
                                        .withEndpoints(endpointJson("s-1", NOWHERE, "in_service")),
                                discovery.address());
                Client client = node.client()) {
            assertTrue(discovery.requests.take().target().contains("after=41"));
            assertTrue(
                    discovery.requests.take().target().contains("after=42"),
                    "the list was not read");
            assertEquals(200, client.ask(Client.request("read", "ok", "")).status());
            assertTrue(peakMemoryKb(node) < MEMORY_KB, "needs " + peakMemoryKb(node) + " KB");
        }
    }

    /**
     * A list that there is no room for is told of with its size and the bound, and the one before
     * stays.
     */
    @Test
    void aListOverTheBoundLeavesTheOneBeforeInForceAndIsToldOfOnce() throws Exception {
        long size = 1L << 30;
        try (StubServer server = StubServer.obedient();
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
            assertEquals(200, client.ask(Client.request("read", "ok", "")).status());
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
