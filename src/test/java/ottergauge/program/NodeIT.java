// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.endpointJson;
import static ottergauge.protocol.TestConfig.list;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import ottergauge.program.RunningNode.Client;
import ottergauge.protocol.TestConfig;
import picocli.CommandLine;

/** Starts the built program as the platform does and sends requests to it over loopback. */
@Timeout(120)
class NodeIT {

    private static final String UNREACHABLE = "127.0.0.1:1";

    @TempDir private Path folder;

    private RunningNode nodeInFrontOf(StubServer server) throws Exception {
        return RunningNode.ready(
                folder,
                new TestConfig().withEndpoints(endpointJson("s-1", server.address(), "in_service")),
                UNREACHABLE);
    }

    @Test
    void requestAndResponseAreForwardedUnchangedOnReusedConnections() throws Exception {
        try (StubServer server = StubServer.queryControlled();
                RunningNode node = nodeInFrontOf(server);
                Client client = node.client()) {
            for (int i = 0; i < 2; i++) {
                HttpMessage reply =
                        client.exchange(
                                Client.request("pay", "9b1f03aa" + i, "ok&n=1", "amount=7"));
                assertEquals(200, reply.status());
                assertEquals("served amount=7", reply.body());
                HttpMessage seen = server.requests.poll(5, TimeUnit.SECONDS);
                assertEquals("POST /api?do=ok&n=1 HTTP/1.1", seen.startLine());
                assertEquals("amount=7", seen.body());
                assertEquals("9b1f03aa" + i, seen.headers().get("x-trace-id"));
                assertEquals("5c0f", seen.headers().get("idempotency-key"));
                int wait = Integer.parseInt(seen.headers().get("x-expires-in-ms"));
                assertTrue(wait > 0 && wait <= 900, "waits " + wait);
            }
            assertTrue(server.endedConnections.isEmpty());
            HttpMessage read =
                    client.exchange(
                            "GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 1\r\nX-Qos: read\r\n\r\n");
            assertEquals(200, read.status());
            assertNull(server.requests.poll(5, TimeUnit.SECONDS).headers().get("content-length"));
        }
    }

    /**
     * An unsafe request is sent only once if it may have run, and then fails. If it never ran, it
     * may be sent again or rejected.
     */
    @ParameterizedTest
    @CsvSource({"error,502,once", "break,502,once", "silence,502,once", "busy,503,any"})
    void serverOutcomeDeterminesTheResponseToAnUnsafeRequest(String action, int status, String sent)
            throws Exception {
        try (StubServer server = StubServer.queryControlled();
                RunningNode node = nodeInFrontOf(server);
                Client client = node.client()) {
            assertEquals(200, client.exchange(Client.request("grant", "ok", "")).status());
            assertEquals(status, client.exchange(Client.request("grant", action, "")).status());
            assertEquals(200, client.exchange(Client.request("grant", "ok", "")).status());
            long times =
                    server.requests.stream()
                            .filter(r -> r.target().endsWith("do=" + action))
                            .count();
            assertTrue(times == 1 || "any".equals(sent), action + " was sent " + times + " times");
        }
    }

    @Test
    void cancelledAttemptClosesItsServerConnection() throws Exception {
        try (StubServer server = StubServer.queryControlled();
                RunningNode node = nodeInFrontOf(server)) {
            try (Client client = node.client()) {
                client.write(Client.request("pay", "silence", ""));
                assertNotNull(server.requests.poll(10, TimeUnit.SECONDS));
            }
            assertNotNull(
                    server.endedConnections.poll(10, TimeUnit.SECONDS),
                    "the client disconnected and no server connection was closed");
            node.awaitLog("side=server");
            node.awaitLog("code=CANCELLED");
        }
    }

    @Test
    void requestWithoutReachableServerIsRejectedWithRetryAfter() throws Exception {
        int nobody = RunningNode.freePort();
        try (RunningNode node =
                        RunningNode.ready(
                                folder,
                                new TestConfig()
                                        .withEndpoints(
                                                endpointJson(
                                                        "s-1",
                                                        "127.0.0.1:" + nobody,
                                                        "in_service")),
                                UNREACHABLE);
                Client client = node.client()) {
            HttpMessage reply = client.exchange(Client.request("grant", "ok", ""));
            assertEquals(503, reply.status());
            assertEquals("0.600", reply.headers().get("retry-after"));
            node.awaitLog("code=CONNECT_FAILED");
        }
    }

    /** A tilde stands for a line end, LARGE for 70,000 characters. */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "400|NONSENSE~~",
                "400|GET /api HTTP/1.1~Host: x~~",
                "400|GET /api HTTP/1.1~Host: x~X-Trace-Id: 1 2~X-Qos: read~~",
                "400|GET /api?q=\u00e9 HTTP/1.1~Host: x~X-Trace-Id: 1~X-Qos: read~~",
                "400|GET /api HTTP/1.1~Host: x~X-Trace-Id: 1~X-Qos: read~X-Expires-In-Ms: x~~",
                "505|PRI * HTTP/2.0~~SM~~",
                "400|POST /api HTTP/1.1~Host: x~X-Trace-Id: 1~X-Qos: unheard-of~Content-Length:"
                        + " 0~~",
                "405|DELETE /api HTTP/1.1~Host: x~X-Trace-Id: 1~X-Qos: read~~",
                "400|POST /api HTTP/1.1~Host: x~X-Trace-Id: 1~X-Qos: read~Content-Length:"
                        + " 70000~~LARGE",
                "400|POST /api HTTP/1.1~X-Trace-Id: 1~X-Qos: grant~Content-Length:"
                        + " 4~Transfer-Encoding: chunked~~0~~",
                "400|POST /api HTTP/1.1~Host: x~X-Trace-Id: 1~X-Qos: grant~Content-Length:"
                        + " 2~Content-Length: 3~~abc",
                "400|POST /api HTTP/1.1~Host: x~X-Trace-Id: 1~X-Qos: grant~Content-Length: +3~~abc",
                "400|POST /api HTTP/1.1~Host: x~X-Trace-Id: 1~X-Qos: grant~Content-Length: -3~~abc",
                "400|POST /api HTTP/1.1~Host: x~X-Trace-Id: 1~X-Qos: grant~Transfer-Encoding:"
                        + " identity~~",
                "400|POST /api HTTP/1.1~Host: x~X-Trace-Id: 1~X-Qos: grant~Transfer-Encoding: gzip,"
                        + " chunked~~0~~",
                "400|POST /api HTTP/1.1~Host: x~X-Trace-Id: 1~X-Trace-Id: 2~X-Qos:"
                        + " grant~Content-Length: 0~~",
                "400|POST /api HTTP/1.1~Host: x~X-Trace-Id: 1~X-Qos: grant~Content-Length:"
                        + " 0~~NOISE",
                "400|GET /api HTTP/1.1~Host: x~X-Trace-Id: 1~X-Qos: read~~GET /api HTTP/1.1~Host:"
                        + " x~X-Trace-Id: 2~~",
                "413|POST /api HTTP/1.1~Host: x~X-Trace-Id: 1~X-Qos: grant~Content-Length:"
                        + " 60000000~~",
                "505|POST /api HTTP/1.0~Host: x~X-Trace-Id: 1~X-Qos: grant~Content-Length: 0~~",
                "414|GET /LARGE HTTP/1.1~Host: x~~",
                "431|GET /api HTTP/1.1~Host: LARGE~~"
            })
    void invalidRequestGetsAnErrorStatusAndItsConnectionIsClosed(int status, String request)
            throws Exception {
        try (StubServer server = StubServer.queryControlled();
                RunningNode node = nodeInFrontOf(server)) {
            try (Client client = node.client()) {
                client.write(request.replace("~", "\r\n").replace("LARGE", "x".repeat(70_000)));
                assertEquals(status, client.read().status());
                assertTrue(client.atEnd());
            }
            assertTrue(server.requests.isEmpty(), "it was forwarded");
            try (Client client = node.client()) {
                assertEquals(200, client.exchange(Client.request("read", "ok", "")).status());
            }
        }
    }

    @Test
    void malformedChunkedBodyClosesOnlyItsOwnConnection() throws Exception {
        try (StubServer server = StubServer.queryControlled();
                RunningNode node = nodeInFrontOf(server);
                Client bad = node.client();
                Client client = node.client()) {
            bad.write(
                    """
                    POST /api HTTP/1.1
                    Host: x
                    X-Trace-Id: 1
                    X-Qos: read
                    Transfer-Encoding: chunked

                    no size

                    """
                            .replace("\n", "\r\n"));
            assertEquals(400, bad.read().status());
            assertTrue(bad.atEnd());
            node.awaitLog("code=MALFORMED");
            assertEquals(200, client.exchange(Client.request("read", "ok", "")).status());
        }
    }

    @Test
    void malformedServerResponseFailsTheRequestWithoutRetry() throws Exception {
        StubServer server =
                new StubServer(
                        (request, connection) -> {
                            connection
                                    .getOutputStream()
                                    .write("nonsense\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                            return true;
                        });
        try (server;
                RunningNode node = nodeInFrontOf(server);
                Client client = node.client()) {
            assertEquals(502, client.exchange(Client.request("grant", "ok", "")).status());
            assertNotNull(server.endedConnections.poll(10, TimeUnit.SECONDS));
            node.awaitLog("code=MALFORMED");
            assertEquals(1, server.requests.size());
        }
    }

    /** Invalid responses of a server, with a tilde for each line end; none may be relayed. */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK~a line without its mark~Content-Length: 2~~ok",
                "HTTP/1.1 200 OK~Content-Length: 2~Content-Length: 3~~ok",
                "HTTP/1.1 200 OK~Content-Length: -1~~ok",
                "HTTP/1.1 200 OK~Content-Length: 2~Transfer-Encoding: chunked~~2~ok~0~~",
                "HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2~ok~x~~",
                "HTTP/1.1 200 OK~Transfer-Encoding: identity~~ok",
                "HTTP/1.1 200 OK~Content-Length: 3000000000~~ok",
                "HTTP/1.1 200 OK~~ok",
                "HTTP/1.1 2x0 OK~Content-Length: 2~~ok",
                "ICY 200 OK~Content-Length: 2~~ok",
                "HTTP/1.1 101 Switching Protocols~~ok"
            })
    void invalidServerResponseIsAFailedAttemptThatMayHaveRun(String reply) throws Exception {
        StubServer server =
                new StubServer(
                        (request, connection) -> {
                            connection
                                    .getOutputStream()
                                    .write(
                                            reply.replace("~", "\r\n")
                                                    .getBytes(StandardCharsets.US_ASCII));
                            return true;
                        });
        try (server;
                RunningNode node = nodeInFrontOf(server);
                Client client = node.client()) {
            assertEquals(502, client.exchange(Client.request("grant", "ok", "")).status());
            assertNotNull(
                    server.endedConnections.poll(10, TimeUnit.SECONDS),
                    "an unusable connection was kept");
            assertEquals(1, server.requests.size());
        }
    }

    /**
     * Bytes that follow a valid response: the response is relayed, and the bytes after it reach no
     * client.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK~Content-Length: 6~~served|HTTP/1.1 200 OK~Content-Length:"
                        + " 5~~other",
                "HTTP/1.1 200 OK~Content-Length: 6~~served|noise",
                "HTTP/1.1 200 OK~Content-Length: 6~~served|"
            })
    void bytesAfterAResponseAreNotTakenForTheNextResponse(String written) throws Exception {
        String[] parts = written.replace("~", "\r\n").split("\\|", -1);
        StubServer server =
                new StubServer(
                        (request, connection) -> {
                            boolean first = request.target().endsWith("first");
                            connection
                                    .getOutputStream()
                                    .write(
                                            (first
                                                            ? parts[0] + parts[1]
                                                            : """
                                                            HTTP/1.1 102 Processing

                                                            HTTP/1.1 200 OK
                                                            Content-Length: 6

                                                            second\
                                                            """
                                                                    .replace("\n", "\r\n"))
                                                    .getBytes(StandardCharsets.US_ASCII));
                            return true;
                        });
        try (server;
                RunningNode node = nodeInFrontOf(server);
                Client client = node.client()) {
            assertEquals("served", client.exchange(Client.request("grant", "first", "")).body());
            for (int i = 0; i < 3; i++) {
                assertEquals("second", client.exchange(Client.request("grant", "next", "")).body());
            }
            assertEquals(parts[1].isEmpty(), server.endedConnections.isEmpty());
        }
    }

    @Test
    void nodeServesRequestsDespiteMoreConnectionsThanDescriptors() throws Exception {
        List<Client> silent = new ArrayList<>();
        try (StubServer server = StubServer.queryControlled();
                RunningNode node =
                        RunningNode.ready(
                                folder,
                                new TestConfig()
                                        .sockets(100)
                                        .withEndpoints(
                                                endpointJson(
                                                        "s-1", server.address(), "in_service")),
                                UNREACHABLE)) {
            for (int i = 0; i < 300; i++) {
                silent.add(node.client());
            }
            try (Client client = node.client()) {
                assertEquals(200, client.exchange(Client.request("read", "ok", "")).status());
            }
            for (Client each : silent) {
                assertTrue(each.atEnd(), "a silent connection was kept");
                each.close();
            }
            assertFalse(node.log().contains("Too many open files"), node.log());
        }
    }

    @Test
    void incompleteRequestsDoNotAffectOtherClients() throws Exception {
        try (StubServer server = StubServer.queryControlled();
                RunningNode node = nodeInFrontOf(server);
                Client slow = node.client();
                Client client = node.client()) {
            try (Client gone = node.client()) {
                gone.write("POST /api HTTP/1.1\r\nHost: x\r\nContent-Le");
            }
            slow.write(Client.request("pay", "ok", "12345678").replace("12345678", "123"));
            assertEquals(200, client.exchange(Client.request("read", "ok", "")).status());
            assertTrue(slow.atEnd(), "an incomplete request was kept forever");
            node.awaitLog("code=SLOW_REQUEST");
            assertEquals(1, server.requests.size());
        }
    }

    @Test
    void nodeFollowsChangesFromDiscovery() throws Exception {
        try (StubServer first = StubServer.queryControlled();
                StubServer second = StubServer.queryControlled()) {
            CountDownLatch change = new CountDownLatch(1);
            StubServer discovery =
                    new StubServer(
                            (request, connection) -> {
                                if (request.target().contains("after=41&")) {
                                    change.await();
                                    connection
                                            .getOutputStream()
                                            .write(
                                                    HttpMessage.response(
                                                            200,
                                                            "",
                                                            list(
                                                                    42,
                                                                    false,
                                                                    endpointJson(
                                                                            "s-1",
                                                                            first.address(),
                                                                            "terminating"),
                                                                    endpointJson(
                                                                            "s-2",
                                                                            second.address(),
                                                                            "in_service"))));
                                }
                                // There are no later versions: the poll stays open.
                                return true;
                            });
            try (discovery;
                    RunningNode node =
                            RunningNode.ready(
                                    folder,
                                    new TestConfig()
                                            .withEndpoints(
                                                    endpointJson(
                                                            "s-1", first.address(), "in_service")),
                                    discovery.address());
                    Client client = node.client()) {
                assertEquals(200, client.exchange(Client.request("read", "ok", "")).status());
                assertEquals(1, first.requests.size());
                change.countDown();
                assertTrue(
                        discovery
                                .requests
                                .poll(10, TimeUnit.SECONDS)
                                .target()
                                .startsWith("/registry/instances?after=41&wait_ms="));
                assertTrue(
                        discovery
                                .requests
                                .poll(10, TimeUnit.SECONDS)
                                .target()
                                .contains("after=42&"));
                assertEquals(200, client.exchange(Client.request("read", "ok", "")).status());
                assertEquals(1, first.requests.size());
                assertEquals(1, second.requests.size());
            }
        }
    }

    @Test
    void unansweredDiscoveryPollIsClosedAndRepeated() throws Exception {
        try (StubServer discovery = new StubServer((request, connection) -> true);
                RunningNode node =
                        RunningNode.ready(
                                folder,
                                new TestConfig().maxPollIntervalMs(200),
                                discovery.address())) {
            assertNotNull(discovery.requests.poll(10, TimeUnit.SECONDS));
            assertNotNull(discovery.endedConnections.poll(10, TimeUnit.SECONDS));
            assertNotNull(discovery.requests.poll(10, TimeUnit.SECONDS));
            node.awaitLog("discovery poll failed");
            node.awaitLog("ended side=discovery");
        }
    }

    @Test
    void malformedDiscoveryResponseIsIgnoredAndPolledAgain() throws Exception {
        StubServer discovery =
                new StubServer(
                        (request, connection) -> {
                            connection
                                    .getOutputStream()
                                    .write(HttpMessage.response(200, "", "{\"seq\":42"));
                            return true;
                        });
        try (discovery;
                StubServer server = StubServer.queryControlled();
                RunningNode node =
                        RunningNode.ready(
                                folder,
                                new TestConfig()
                                        .withEndpoints(
                                                endpointJson(
                                                        "s-1", server.address(), "in_service")),
                                discovery.address());
                Client client = node.client()) {
            assertNotNull(discovery.requests.poll(10, TimeUnit.SECONDS));
            assertNotNull(discovery.requests.poll(10, TimeUnit.SECONDS));
            assertEquals(200, client.exchange(Client.request("read", "ok", "")).status());
        }
    }

    @Test
    void sighupMovesTheWatchToAnotherAddressAndAnInvalidFileChangesNothing() throws Exception {
        try (StubServer first = StubServer.queryControlled();
                StubServer second = StubServer.queryControlled();
                StubServer before = new StubServer((request, connection) -> true);
                StubServer after =
                        new StubServer(
                                (request, connection) -> {
                                    if (!request.target().contains("?")) {
                                        connection
                                                .getOutputStream()
                                                .write(
                                                        HttpMessage.response(
                                                                200,
                                                                "",
                                                                list(
                                                                        1,
                                                                        true,
                                                                        endpointJson(
                                                                                "s-2",
                                                                                second.address(),
                                                                                "in_service"))));
                                    }
                                    return true;
                                });
                RunningNode node =
                        RunningNode.ready(
                                folder,
                                new TestConfig()
                                        .withEndpoints(
                                                endpointJson("s-1", first.address(), "in_service")),
                                before.address());
                Client client = node.client()) {
            assertNotNull(before.requests.poll(10, TimeUnit.SECONDS));
            node.reload("{\"settings\":");
            node.awaitLog("stays in effect");
            assertEquals(200, client.exchange(Client.request("read", "ok", "")).status());
            assertEquals(1, first.requests.size());
            node.reload(new TestConfig().withAddresses(node.address(), after.address()).json());
            assertNotNull(
                    before.endedConnections.poll(10, TimeUnit.SECONDS),
                    "the old watch was kept open");
            assertEquals("/registry/instances", after.requests.poll(10, TimeUnit.SECONDS).target());
            assertTrue(after.requests.poll(10, TimeUnit.SECONDS).target().contains("after=1&"));
            assertEquals(200, client.exchange(Client.request("read", "ok", "")).status());
            assertEquals(1, second.requests.size());
        }
    }

    /**
     * Request classes are added and removed while the connections of clients and to servers stay
     * open.
     */
    @Test
    void sighupAppliesNewSettingsWithoutARestart() throws Exception {
        String one;
        try (StubServer server = StubServer.queryControlled();
                RunningNode node = nodeInFrontOf(server);
                Client client = node.client();
                Client other = node.client()) {
            one = endpointJson("s-1", server.address(), "in_service");
            assertEquals(200, client.exchange(Client.request("read", "ok", "")).status());
            assertEquals(400, other.exchange(Client.request("audit", "ok", "x")).status());
            TestConfig next =
                    new TestConfig().withEndpoints(one).withAddresses(node.address(), UNREACHABLE);
            node.reload(
                    next.classes(
                                    TestConfig.requestClass("audit", "single_shot", 1000),
                                    TestConfig.READ,
                                    TestConfig.requestClass("read", "free", 500))
                            .json());
            node.awaitLog("not read twice");
            assertEquals(200, client.exchange(Client.request("pay", "ok", "x")).status());
            node.reload(
                    next.classes(
                                    TestConfig.requestClass("audit", "single_shot", 1000),
                                    TestConfig.READ)
                            .json());
            node.awaitLog("applies new settings with 2 request classes");
            assertEquals(200, client.exchange(Client.request("audit", "ok", "x")).status());
            assertEquals(200, client.exchange(Client.request("read", "ok", "")).status());
            assertEquals(400, client.exchange(Client.request("pay", "ok", "x")).status());
            assertTrue(server.endedConnections.isEmpty(), "a connection was closed");
            node.reload(next.withAddresses("127.0.0.1:1", UNREACHABLE).json());
            node.awaitLog("take effect at the next start");
            try (Client late = node.client()) {
                assertEquals(200, late.exchange(Client.request("audit", "ok", "x")).status());
            }
        }
    }

    /**
     * The complete migration: an old file is translated, and a node started with the result polls
     * discovery for its list.
     */
    @Test
    void nodeWithMigratedConfigurationPollsDiscoveryDespitePushedRegistryMode() throws Exception {
        Path shape =
                Files.writeString(
                        folder.resolve("shape.json"),
                        """
                        {"balancers":98,"me":3,"zones":["room"],"zone":"room",
                        "registryMode":"pushed","roundMs":5,
                         "specifics":{"warmKeys":true},"reporting":{"how":"on_probe",
                         "fields":["outstanding"]}}
                        """);
        try (StubServer server = StubServer.queryControlled();
                StubServer discovery =
                        new StubServer(
                                (request, connection) -> {
                                    if (!request.target().contains("after=1&")) {
                                        connection
                                                .getOutputStream()
                                                .write(
                                                        HttpMessage.response(
                                                                200,
                                                                "",
                                                                list(
                                                                        1,
                                                                        true,
                                                                        endpointJson(
                                                                                "s-1",
                                                                                server.address(),
                                                                                "in_service"))));
                                    }
                                    return true;
                                })) {
            int port = RunningNode.freePort();
            Path old =
                    Files.writeString(
                            folder.resolve("old.json"),
                            new TestConfig()
                                    .withEndpoints(endpointJson("gone", UNREACHABLE, "in_service"))
                                    .withAddresses("127.0.0.1:" + port, discovery.address())
                                    .json());
            Path migrated = folder.resolve("new.json");
            assertEquals(
                    3,
                    new CommandLine(new Main())
                            .setOut(new PrintWriter(new StringWriter()))
                            .execute(
                                    "migrate",
                                    old.toString(),
                                    "--to",
                                    shape.toString(),
                                    "--out",
                                    migrated.toString()));
            try (RunningNode node = RunningNode.start(folder, Files.readString(migrated), port)) {
                node.await(
                        "served",
                        () -> {
                            try (Client client = node.client()) {
                                return client.exchange(Client.request("read", "ok", "")).status()
                                        == 200;
                            } catch (IOException e) {
                                return false;
                            }
                        });
                String good = Files.readString(migrated);
                node.reload(good.replaceAll("\"roundMs\" : 5", "\"roundMs\" : \"five\""));
                node.awaitLog("roundMs");
                node.awaitLog("stays in effect");
                try (Client client = node.client()) {
                    assertEquals(200, client.exchange(Client.request("read", "ok", "")).status());
                }
            }
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "\"roundMs\":-1",
                "\"roundMs\":\"5\"",
                "\"roundMs\":1e9",
                "\"specifics\":{\"warmKeys\":1}",
                "\"penalties\":{\"probe\":-2}"
            })
    void invalidSettingFailsTheStartAndItsKeyIsNamed(String bad) throws Exception {
        String config =
                new TestConfig()
                        .json()
                        .replace("\"settings\":{", "\"settings\":{" + bad + ",")
                        .replace("\"penalties\":{\"probe\":0.002},", "");
        try (RunningNode node = RunningNode.start(folder, config, 1)) {
            assertEquals(1, node.exitCode());
            String key = bad.replaceAll("\"[^\"]*\":\\{", "").replaceAll("^\"|\".*", "");
            assertTrue(node.log().contains(key), key + " in " + node.log());
        }
    }

    @Test
    void stoppedNodeRespondsToAcceptedRequestsAndExits() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        StubServer server =
                new StubServer(
                        (request, connection) -> {
                            if (request.target().endsWith("wait")) {
                                release.await();
                            }
                            connection
                                    .getOutputStream()
                                    .write(HttpMessage.response(200, "", "served"));
                            return true;
                        });
        try (server;
                RunningNode node = nodeInFrontOf(server);
                Client idle = node.client();
                Client waiting = node.client()) {
            assertEquals(200, idle.exchange(Client.request("read", "ok", "")).status());
            waiting.write(Client.request("grant", "wait", ""));
            assertNotNull(server.requests.poll(10, TimeUnit.SECONDS));
            assertNotNull(server.requests.poll(10, TimeUnit.SECONDS));
            node.process.toHandle().destroy();
            node.await(
                    "not ready",
                    () -> {
                        try (Client client = node.client()) {
                            return client.exchange("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                                            .status()
                                    == 503;
                        } catch (java.io.IOException e) {
                            return false;
                        }
                    });
            try (Client late = node.client()) {
                HttpMessage reply = late.exchange(Client.request("read", "ok", ""));
                assertEquals(200, reply.status());
                assertEquals("close", reply.headers().get("connection"));
                assertTrue(late.atEnd());
            }
            assertTrue(node.process.isAlive());
            release.countDown();
            assertEquals(200, waiting.read().status());
            assertTrue(idle.atEnd());
            node.exitCode();
            assertTrue(
                    node.log().contains("stopped: all pending requests responded to"), node.log());
        }
    }

    @Test
    void invalidConfigurationOrAddressInUseExitsWithCodeOne() throws Exception {
        try (RunningNode node = RunningNode.start(folder, "{\"settings\":", 0)) {
            assertEquals(1, node.exitCode());
            assertTrue(node.log().contains("invalid configuration"), node.log());
        }
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String listen = "127.0.0.1:" + taken.getLocalPort();
            String config = new TestConfig().withAddresses(listen, UNREACHABLE).json();
            try (RunningNode node = RunningNode.start(folder, config, 0)) {
                assertEquals(1, node.exitCode());
                assertTrue(node.log().contains("cannot listen on " + listen), node.log());
            }
        }
    }

    @Test
    void nodeListensOnItsOwnAddressOnly() throws Exception {
        int port = RunningNode.freePort();
        String config = new TestConfig().withAddresses("127.0.0.2:" + port, UNREACHABLE).json();
        try (RunningNode node = RunningNode.start(folder, config, port)) {
            node.awaitLog("listens on 127.0.0.2:" + port);
            boolean reached;
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                reached = socket.isConnected();
            } catch (java.net.ConnectException e) {
                reached = false;
            }
            assertFalse(reached, "the node listens on another address too");
        }
    }

    /**
     * Guards against a node that never reloads and does not log why: nohup makes it inherit an
     * ignored SIGHUP.
     */
    @Test
    void ignoredSighupIsLoggedAtTheStart() throws Exception {
        int port = RunningNode.freePort();
        String config = new TestConfig().withAddresses("127.0.0.1:" + port, UNREACHABLE).json();
        try (RunningNode node =
                RunningNode.startAfterCommand("trap '' HUP; ", folder, config, port)) {
            node.awaitLog("SIGHUP is ignored");
            node.awaitLog("listens on");
            node.reload(config);
            node.signal("TERM");
            node.exitCode();
            assertFalse(node.log().contains("reloads its configuration"), node.log());
        }
        try (RunningNode node = RunningNode.start(folder, config, port)) {
            node.awaitLog("listens on");
            assertFalse(node.log().contains("SIGHUP"), node.log());
        }
    }
}
