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

/** Starts the built program as the platform does and speaks to it over loopback. */
@Timeout(120)
class NodeIT {

    private static final String NOWHERE = "127.0.0.1:1";

    @TempDir private Path folder;

    private RunningNode nodeBefore(StubServer server) throws Exception {
        return RunningNode.ready(
                folder,
                new TestConfig().withEndpoints(endpointJson("s-1", server.address(), "in_service")),
                NOWHERE);
    }

    @Test
    void aRequestAndItsAnswerPassUnchangedOverKeptConnections() throws Exception {
        try (StubServer server = StubServer.obedient();
                RunningNode node = nodeBefore(server);
                Client client = node.client()) {
            for (int i = 0; i < 2; i++) {
                HttpMessage answer =
                        client.ask(Client.request("pay", "9b1f03aa" + i, "ok&n=1", "amount=7"));
                assertEquals(200, answer.status());
                assertEquals("served amount=7", answer.body());
                HttpMessage seen = server.requests.poll(5, TimeUnit.SECONDS);
                assertEquals("POST /api?do=ok&n=1 HTTP/1.1", seen.startLine());
                assertEquals("amount=7", seen.body());
                assertEquals("9b1f03aa" + i, seen.headers().get("x-trace-id"));
                assertEquals("5c0f", seen.headers().get("idempotency-key"));
                int wait = Integer.parseInt(seen.headers().get("x-expires-in-ms"));
                assertTrue(wait > 0 && wait <= 900, "waits " + wait);
            }
            assertTrue(server.ended.isEmpty());
            HttpMessage read =
                    client.ask(
                            "GET /api HTTP/1.1\r\nHost: x\r\nX-Trace-Id: 1\r\nX-Qos: read\r\n\r\n");
            assertEquals(200, read.status());
            assertNull(server.requests.poll(5, TimeUnit.SECONDS).headers().get("content-length"));
        }
    }

    /**
     * An unsafe request: what may have run is sent once and fails, what never ran may be refused.
     */
    @ParameterizedTest
    @CsvSource({"error,502,once", "break,502,once", "silence,502,once", "busy,503,any"})
    void whatComesBackDecidesTheAnswer(String wish, int status, String sent) throws Exception {
        try (StubServer server = StubServer.obedient();
                RunningNode node = nodeBefore(server);
                Client client = node.client()) {
            assertEquals(200, client.ask(Client.request("grant", "ok", "")).status());
            assertEquals(status, client.ask(Client.request("grant", wish, "")).status());
            assertEquals(200, client.ask(Client.request("grant", "ok", "")).status());
            long times =
                    server.requests.stream().filter(r -> r.target().endsWith("do=" + wish)).count();
            assertTrue(times == 1 || "any".equals(sent), wish + " was sent " + times + " times");
        }
    }

    @Test
    void anAttemptGivenUpHasItsConnectionClosed() throws Exception {
        try (StubServer server = StubServer.obedient();
                RunningNode node = nodeBefore(server)) {
            try (Client client = node.client()) {
                client.write(Client.request("pay", "silence", ""));
                assertNotNull(server.requests.poll(10, TimeUnit.SECONDS));
            }
            assertNotNull(
                    server.ended.poll(10, TimeUnit.SECONDS),
                    "the client left and nothing was closed");
            node.awaitLog("side=server");
            node.awaitLog("code=CANCELLED");
        }
    }

    @Test
    void noServerMeansARefusal() throws Exception {
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
                                NOWHERE);
                Client client = node.client()) {
            HttpMessage answer = client.ask(Client.request("grant", "ok", ""));
            assertEquals(503, answer.status());
            assertEquals("0.600", answer.headers().get("retry-after"));
            node.awaitLog("code=CONNECT_FAILED");
        }
    }

    /** Each tilde stands for the end of a line, LARGE for 70,000 characters. */
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
    void badInputGetsAStatusAndItsConnectionClosed(int status, String request) throws Exception {
        try (StubServer server = StubServer.obedient();
                RunningNode node = nodeBefore(server)) {
            try (Client client = node.client()) {
                client.write(request.replace("~", "\r\n").replace("LARGE", "x".repeat(70_000)));
                assertEquals(status, client.read().status());
                assertTrue(client.atEnd());
            }
            assertTrue(server.requests.isEmpty(), "it was passed on");
            try (Client client = node.client()) {
                assertEquals(200, client.ask(Client.request("read", "ok", "")).status());
            }
        }
    }

    @Test
    void aBodyThatIsNoneEndsItsConnectionAlone() throws Exception {
        try (StubServer server = StubServer.obedient();
                RunningNode node = nodeBefore(server);
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
            assertEquals(200, client.ask(Client.request("read", "ok", "")).status());
        }
    }

    @Test
    void aServerThatTalksNonsenseIsTakenForOneThatBroke() throws Exception {
        StubServer server =
                new StubServer(
                        (request, connection) -> {
                            connection
                                    .getOutputStream()
                                    .write("nonsense\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
                            return true;
                        });
        try (server;
                RunningNode node = nodeBefore(server);
                Client client = node.client()) {
            assertEquals(502, client.ask(Client.request("grant", "ok", "")).status());
            assertNotNull(server.ended.poll(10, TimeUnit.SECONDS));
            node.awaitLog("code=MALFORMED");
            assertEquals(1, server.requests.size());
        }
    }

    /**
     * What a server sends for one request, each tilde the end of a line; none of it may be served.
     */
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
    void aSpoiltAnswerIsAFailedAttemptThatMayHaveRun(String answer) throws Exception {
        StubServer server =
                new StubServer(
                        (request, connection) -> {
                            connection
                                    .getOutputStream()
                                    .write(
                                            answer.replace("~", "\r\n")
                                                    .getBytes(StandardCharsets.US_ASCII));
                            return true;
                        });
        try (server;
                RunningNode node = nodeBefore(server);
                Client client = node.client()) {
            assertEquals(502, client.ask(Client.request("grant", "ok", "")).status());
            assertNotNull(server.ended.poll(10, TimeUnit.SECONDS), "a useless connection was kept");
            assertEquals(1, server.requests.size());
        }
    }

    /**
     * What comes with a good answer: the answer is served, and what came with it reaches nobody.
     */
    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 200 OK~Content-Length: 6~~served|HTTP/1.1 200 OK~Content-Length:"
                        + " 5~~other",
                "HTTP/1.1 200 OK~Content-Length: 6~~served|noise",
                "HTTP/1.1 200 OK~Content-Length: 6~~served|"
            })
    void whatComesBehindAnAnswerIsNotTheNextOne(String written) throws Exception {
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
                RunningNode node = nodeBefore(server);
                Client client = node.client()) {
            assertEquals("served", client.ask(Client.request("grant", "first", "")).body());
            for (int i = 0; i < 3; i++) {
                assertEquals("second", client.ask(Client.request("grant", "next", "")).body());
            }
            assertEquals(parts[1].isEmpty(), server.ended.isEmpty());
        }
    }

    @Test
    void moreConnectionsThanDescriptorsLeaveTheNodeServing() throws Exception {
        List<Client> silent = new ArrayList<>();
        try (StubServer server = StubServer.obedient();
                RunningNode node =
                        RunningNode.ready(
                                folder,
                                new TestConfig()
                                        .sockets(100)
                                        .withEndpoints(
                                                endpointJson(
                                                        "s-1", server.address(), "in_service")),
                                NOWHERE)) {
            for (int i = 0; i < 300; i++) {
                silent.add(node.client());
            }
            try (Client client = node.client()) {
                assertEquals(200, client.ask(Client.request("read", "ok", "")).status());
            }
            for (Client each : silent) {
                assertTrue(each.atEnd(), "one that says nothing was kept");
                each.close();
            }
            assertFalse(node.log().contains("Too many open files"), node.log());
        }
    }

    @Test
    void clientsThatStopHalfwayHurtNobody() throws Exception {
        try (StubServer server = StubServer.obedient();
                RunningNode node = nodeBefore(server);
                Client slow = node.client();
                Client client = node.client()) {
            try (Client gone = node.client()) {
                gone.write("POST /api HTTP/1.1\r\nHost: x\r\nContent-Le");
            }
            slow.write(Client.request("pay", "ok", "12345678").replace("12345678", "123"));
            assertEquals(200, client.ask(Client.request("read", "ok", "")).status());
            assertTrue(slow.atEnd(), "half a request was kept for ever");
            node.awaitLog("code=SLOW_REQUEST");
            assertEquals(1, server.requests.size());
        }
    }

    @Test
    void discoveryIsWatchedAndFollowed() throws Exception {
        try (StubServer first = StubServer.obedient();
                StubServer second = StubServer.obedient()) {
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
                                // Later versions do not come: the watch hangs.
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
                assertEquals(200, client.ask(Client.request("read", "ok", "")).status());
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
                assertEquals(200, client.ask(Client.request("read", "ok", "")).status());
                assertEquals(1, first.requests.size());
                assertEquals(1, second.requests.size());
            }
        }
    }

    @Test
    void aCallThatDiscoveryLeavesHangingIsClosedAndMadeAgain() throws Exception {
        try (StubServer discovery = new StubServer((request, connection) -> true);
                RunningNode node =
                        RunningNode.ready(
                                folder,
                                new TestConfig().maxPollIntervalMs(200),
                                discovery.address())) {
            assertNotNull(discovery.requests.poll(10, TimeUnit.SECONDS));
            assertNotNull(discovery.ended.poll(10, TimeUnit.SECONDS));
            assertNotNull(discovery.requests.poll(10, TimeUnit.SECONDS));
            node.awaitLog("discovery poll failed");
            node.awaitLog("ended side=discovery");
        }
    }

    @Test
    void discoverysNonsenseIsPassedOverAndAskedAgain() throws Exception {
        StubServer discovery =
                new StubServer(
                        (request, connection) -> {
                            connection
                                    .getOutputStream()
                                    .write(HttpMessage.response(200, "", "{\"seq\":42"));
                            return true;
                        });
        try (discovery;
                StubServer server = StubServer.obedient();
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
            assertEquals(200, client.ask(Client.request("read", "ok", "")).status());
        }
    }

    @Test
    void aHangUpMovesTheWatchToAnotherAddressAndABadFileChangesNothing() throws Exception {
        try (StubServer first = StubServer.obedient();
                StubServer second = StubServer.obedient();
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
            node.hangUp("{\"settings\":");
            node.awaitLog("stays in effect");
            assertEquals(200, client.ask(Client.request("read", "ok", "")).status());
            assertEquals(1, first.requests.size());
            node.hangUp(new TestConfig().withAddresses(node.address(), after.address()).json());
            assertNotNull(before.ended.poll(10, TimeUnit.SECONDS), "the old watch was kept open");
            assertEquals("/registry/instances", after.requests.poll(10, TimeUnit.SECONDS).target());
            assertTrue(after.requests.poll(10, TimeUnit.SECONDS).target().contains("after=1&"));
            assertEquals(200, client.ask(Client.request("read", "ok", "")).status());
            assertEquals(1, second.requests.size());
        }
    }

    /** Classes come and go while connections of clients and to servers stay as they are. */
    @Test
    void aHangUpTakesSettingsOverWithoutARestart() throws Exception {
        String one;
        try (StubServer server = StubServer.obedient();
                RunningNode node = nodeBefore(server);
                Client client = node.client();
                Client other = node.client()) {
            one = endpointJson("s-1", server.address(), "in_service");
            assertEquals(200, client.ask(Client.request("read", "ok", "")).status());
            assertEquals(400, other.ask(Client.request("audit", "ok", "x")).status());
            TestConfig next =
                    new TestConfig().withEndpoints(one).withAddresses(node.address(), NOWHERE);
            node.hangUp(
                    next.classes(
                                    TestConfig.requestClass("audit", "single_shot", 1000),
                                    TestConfig.READ,
                                    TestConfig.requestClass("read", "free", 500))
                            .json());
            node.awaitLog("not read twice");
            assertEquals(200, client.ask(Client.request("pay", "ok", "x")).status());
            node.hangUp(
                    next.classes(
                                    TestConfig.requestClass("audit", "single_shot", 1000),
                                    TestConfig.READ)
                            .json());
            node.awaitLog("applies new settings with 2 request classes");
            assertEquals(200, client.ask(Client.request("audit", "ok", "x")).status());
            assertEquals(200, client.ask(Client.request("read", "ok", "")).status());
            assertEquals(400, client.ask(Client.request("pay", "ok", "x")).status());
            assertTrue(server.ended.isEmpty(), "a connection was closed");
            node.hangUp(next.withAddresses("127.0.0.1:1", NOWHERE).json());
            node.awaitLog("take effect at the next start");
            try (Client late = node.client()) {
                assertEquals(200, late.ask(Client.request("audit", "ok", "x")).status());
            }
        }
    }

    /**
     * The whole way of the move: an old file translated, a node started with it that asks for its
     * list.
     */
    @Test
    void aMigratedConfigurationStartsANodeThatAsksThoughItsListIsSaidToBePushed() throws Exception {
        Path shape =
                Files.writeString(
                        folder.resolve("shape.json"),
                        """
                        {"balancers":98,"me":3,"zones":["room"],"zone":"room",
                        "registryMode":"pushed","roundMs":5,
                         "specifics":{"warmKeys":true},"reporting":{"how":"on_probe",
                         "fields":["outstanding"]}}
                        """);
        try (StubServer server = StubServer.obedient();
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
                                    .withEndpoints(endpointJson("gone", NOWHERE, "in_service"))
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
                                return client.ask(Client.request("read", "ok", "")).status() == 200;
                            } catch (IOException e) {
                                return false;
                            }
                        });
                String good = Files.readString(migrated);
                node.hangUp(good.replaceAll("\"roundMs\" : 5", "\"roundMs\" : \"five\""));
                node.awaitLog("roundMs");
                node.awaitLog("stays in effect");
                try (Client client = node.client()) {
                    assertEquals(200, client.ask(Client.request("read", "ok", "")).status());
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
    void aBadSettingEndsTheStartWithItsKeyNamed(String bad) throws Exception {
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
    void aNodeToldToStopAnswersWhatItHasTakenAndEnds() throws Exception {
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
                RunningNode node = nodeBefore(server);
                Client idle = node.client();
                Client waiting = node.client()) {
            assertEquals(200, idle.ask(Client.request("read", "ok", "")).status());
            waiting.write(Client.request("grant", "wait", ""));
            assertNotNull(server.requests.poll(10, TimeUnit.SECONDS));
            assertNotNull(server.requests.poll(10, TimeUnit.SECONDS));
            node.process.toHandle().destroy();
            node.await(
                    "not ready",
                    () -> {
                        try (Client client = node.client()) {
                            return client.ask("GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                                            .status()
                                    == 503;
                        } catch (java.io.IOException e) {
                            return false;
                        }
                    });
            try (Client late = node.client()) {
                HttpMessage answer = late.ask(Client.request("read", "ok", ""));
                assertEquals(200, answer.status());
                assertEquals("close", answer.headers().get("connection"));
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
    void aBadConfigurationOrATakenAddressEndsTheProgramWithOne() throws Exception {
        try (RunningNode node = RunningNode.start(folder, "{\"settings\":", 0)) {
            assertEquals(1, node.exitCode());
            assertTrue(node.log().contains("invalid configuration"), node.log());
        }
        try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            String listen = "127.0.0.1:" + taken.getLocalPort();
            String config = new TestConfig().withAddresses(listen, NOWHERE).json();
            try (RunningNode node = RunningNode.start(folder, config, 0)) {
                assertEquals(1, node.exitCode());
                assertTrue(node.log().contains("cannot listen on " + listen), node.log());
            }
        }
    }

    @Test
    void itListensOnItsOwnAddressOnly() throws Exception {
        int port = RunningNode.freePort();
        String config = new TestConfig().withAddresses("127.0.0.2:" + port, NOWHERE).json();
        try (RunningNode node = RunningNode.start(folder, config, port)) {
            node.awaitLog("listens on 127.0.0.2:" + port);
            boolean reached;
            try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), port)) {
                reached = socket.isConnected();
            } catch (java.net.ConnectException e) {
                reached = false;
            }
            assertFalse(reached, "another address is served too");
        }
    }

    /**
     * Guards against a node that never reloads and says nothing: nohup hands down an ignored
     * SIGHUP.
     */
    @Test
    void anIgnoredHangUpIsToldOfAtTheStart() throws Exception {
        int port = RunningNode.freePort();
        String config = new TestConfig().withAddresses("127.0.0.1:" + port, NOWHERE).json();
        try (RunningNode node = RunningNode.startAfter("trap '' HUP; ", folder, config, port)) {
            node.awaitLog("SIGHUP is ignored");
            node.awaitLog("listens on");
            node.hangUp(config);
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
