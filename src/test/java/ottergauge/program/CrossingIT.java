// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.endpointJson;
import static ottergauge.protocol.TestConfig.list;

import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ottergauge.program.RunningNode.Client;
import ottergauge.protocol.TestConfig;

/**
 * What crosses on the wire, forced: the program stands still while a request and what undoes it
 * both arrive, and finds them together when it goes on. docs/crossings.md lists them.
 */
@Timeout(120)
class CrossingIT {

    private static final String NOWHERE = "127.0.0.1:1";

    @TempDir private Path folder;

    private RunningNode nodeBefore(StubServer server) throws Exception {
        return RunningNode.ready(
                folder,
                new TestConfig().withEndpoints(endpointJson("s-1", server.address(), "in_service")),
                NOWHERE);
    }

    /** A server that keeps its connections for the test to write on and to end. */
    private static StubServer held(BlockingQueue<Socket> connections) throws Exception {
        return new StubServer(
                (request, connection) -> {
                    connections.add(connection);
                    connection
                            .getOutputStream()
                            .write(HttpMessage.response(200, "", "served " + request.body()));
                    return true;
                });
    }

    /**
     * Guards against work for clients that have left: their end lay unread behind their request.
     */
    @ParameterizedTest
    @ValueSource(strings = {"end", "half-close", "reset"})
    void aRequestWhoseClientHasLeftIsNotSentOn(String how) throws Exception {
        try (StubServer server = StubServer.obedient();
                RunningNode node = nodeBefore(server);
                Client client = node.client()) {
            assertEquals(200, client.ask(Client.request("grant", "ok", "")).status());
            server.requests.clear();
            Client leaving = node.client();
            assertEquals(200, leaving.ask(Client.request("read", "ok", "")).status());
            assertNotNull(server.requests.poll(10, TimeUnit.SECONDS));
            node.standStill();
            leaving.write(Client.request("grant", "ok", ""));
            switch (how) {
                case "end" -> leaving.close();
                case "half-close" -> leaving.socket().shutdownOutput();
                default -> {
                    leaving.socket().setSoLinger(true, 0);
                    leaving.close();
                }
            }
            node.goOn();
            assertEquals(200, client.ask(Client.request("grant", "last", "")).status());
            assertTrue(
                    server.requests.poll(10, TimeUnit.SECONDS).target().endsWith("last"),
                    "sent on though its client had left");
            leaving.close();
        }
    }

    /** Guards against requests to a server whose drain lay unread behind them. */
    @Test
    void requestsThatCameWithAListGoByThatList() throws Exception {
        int many = 8;
        CountDownLatch change = new CountDownLatch(1);
        CountDownLatch changed = new CountDownLatch(1);
        try (StubServer leaves = StubServer.obedient();
                StubServer stays = StubServer.obedient();
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
                                                                                leaves.address(),
                                                                                "terminating"))));
                                        changed.countDown();
                                    }
                                    return true;
                                });
                RunningNode node =
                        RunningNode.ready(
                                folder,
                                new TestConfig()
                                        .withEndpoints(
                                                endpointJson("s-1", leaves.address(), "in_service"),
                                                endpointJson("s-2", stays.address(), "in_service")),
                                discovery.address())) {
            assertNotNull(discovery.requests.poll(10, TimeUnit.SECONDS));
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < many; i++) {
                clients.add(node.client());
                assertEquals(200, clients.get(i).ask(Client.request("read", "ok", "")).status());
            }
            assertTrue(
                    !leaves.requests.isEmpty() && !stays.requests.isEmpty(),
                    "both are in use before");
            leaves.requests.clear();
            node.standStill();
            for (Client each : clients) {
                each.write(Client.request("read", "ok", ""));
            }
            change.countDown();
            assertTrue(changed.await(10, TimeUnit.SECONDS));
            node.goOn();
            for (Client each : clients) {
                assertEquals(200, each.read().status());
                each.close();
            }
            assertTrue(
                    leaves.requests.isEmpty(),
                    leaves.requests.size() + " went to the server that leaves");
        }
    }

    /** Guards against a second answer of the request before being served for the next one. */
    @Test
    void anAnswerThatNobodyAskedForIsNotTheNextRequests() throws Exception {
        BlockingQueue<Socket> connections = new LinkedBlockingQueue<>();
        try (StubServer server = held(connections);
                RunningNode node = nodeBefore(server);
                Client client = node.client()) {
            assertEquals("served one", client.ask(Client.request("grant", "x", "one")).body());
            Socket resting = connections.poll(10, TimeUnit.SECONDS);
            node.standStill();
            client.write(Client.request("grant", "x", "two"));
            resting.getOutputStream().write(HttpMessage.response(200, "", "served one"));
            node.goOn();
            assertEquals("served two", client.read().body());
            node.awaitLog("code=MALFORMED");
        }
    }

    /**
     * Guards against a request that may have run for all one knows: its connection had ended before
     * it.
     */
    @ParameterizedTest
    @ValueSource(strings = {"end", "reset", "half a line"})
    void aRestingConnectionThatEndsAsARequestComesCarriesNothing(String how) throws Exception {
        BlockingQueue<Socket> connections = new LinkedBlockingQueue<>();
        try (StubServer server = held(connections);
                RunningNode node = nodeBefore(server);
                Client client = node.client()) {
            assertEquals(200, client.ask(Client.request("grant", "x", "one")).status());
            Socket resting = connections.poll(10, TimeUnit.SECONDS);
            node.standStill();
            client.write(Client.request("grant", "x", "two"));
            if ("half a line".equals(how)) {
                resting.getOutputStream().write("HTTP/1.1 20".getBytes(StandardCharsets.US_ASCII));
            } else {
                resting.setSoLinger("reset".equals(how), 0);
                resting.close();
            }
            node.goOn();
            assertEquals("served two", client.read().body());
            assertEquals(2, server.requests.size(), "it was sent more than once");
        }
    }

    /**
     * Guards against an answer lost with its connection, reset over bytes that the node had not
     * read.
     */
    @Test
    void aConnectionEndsInOrderThoughItsClientStillSends() throws Exception {
        try (StubServer server = StubServer.obedient();
                RunningNode node = nodeBefore(server);
                Client client = node.client()) {
            client.write(
                    Client.request("grant", "ok", "x")
                            .replace("Host:", "Connection: close\r\nHost:"));
            assertEquals(200, client.read().status());
            assertTrue(client.socket().getInputStream().read() < 0);
            assertDoesNotThrow(
                    () -> {
                        for (int i = 0; i < 3; i++) {
                            client.write(Client.request("grant", "ok", "stray"));
                        }
                    },
                    "reset over bytes that it had not read");
            client.socket().close();
            try (Client next = node.client()) {
                assertEquals(200, next.ask(Client.request("grant", "last", "")).status());
            }
            assertEquals(2, server.requests.size(), "what came after the end was taken");
        }
    }

    /**
     * Guards against requests read after the shutdown: sent on, their answers would have nowhere to
     * go.
     */
    @Test
    void whatComesOnAConnectionThatTheNodeIsEndingIsNeverTaken() throws Exception {
        try (StubServer server = StubServer.obedient();
                RunningNode node = nodeBefore(server);
                Client idle = node.client();
                Client open = node.client()) {
            assertEquals(200, idle.ask(Client.request("grant", "ok", "")).status());
            open.write(Client.request("grant", "silence", ""));
            assertNotNull(server.requests.poll(10, TimeUnit.SECONDS));
            assertNotNull(server.requests.poll(10, TimeUnit.SECONDS));
            node.signal("TERM");
            assertTrue(
                    idle.socket().getInputStream().read() < 0,
                    "ended once the front has been quiet");
            assertDoesNotThrow(
                    () -> {
                        idle.write(Client.request("grant", "ok", ""));
                        idle.write(Client.request("grant", "ok", ""));
                    });
            assertNull(idle.read());
            idle.socket().close();
            assertEquals(502, open.read().status());
            open.socket().close();
            assertEquals(143, node.exitCode());
            assertTrue(server.requests.isEmpty(), "taken after its connection was shut");
        }
    }

    /**
     * A request whose last byte comes after the node was told to stop, twice, is answered all the
     * same.
     */
    @Test
    void aRequestHalfReadWhenTheNodeIsToldToStopIsAnswered() throws Exception {
        try (StubServer server = StubServer.obedient();
                RunningNode node = nodeBefore(server);
                Client client = node.client();
                Client idle = node.client()) {
            assertEquals(200, idle.ask(Client.request("read", "ok", "")).status());
            String request = Client.request("grant", "ok", "12345678");
            client.write(request.substring(0, request.length() - 4));
            node.signal("TERM");
            node.awaitLog("is shutting down");
            node.signal("TERM");
            assertTrue(idle.socket().getInputStream().read() < 0);
            idle.socket().close();
            client.write(request.substring(request.length() - 4));
            HttpMessage answer = client.read();
            assertEquals("served 12345678", answer.body());
            assertEquals("close", answer.headers().get("connection"));
            client.socket().close();
            assertEquals(143, node.exitCode());
        }
    }

    /** Guards against a node that is ended by the signal that announces a new configuration. */
    @Test
    void aHangUpWhileTheNodeStartsIsFollowedOnceItRuns() throws Exception {
        try (StubServer server = StubServer.obedient();
                StubServer discovery = new StubServer((request, connection) -> true)) {
            int port = RunningNode.freePort();
            String config =
                    new TestConfig()
                            .withEndpoints(endpointJson("s-1", server.address(), "in_service"))
                            .withAddresses("127.0.0.1:" + port, NOWHERE)
                            .json();
            String moved = config.replace(NOWHERE, discovery.address());
            try (RunningNode node = RunningNode.fromPipe(folder, port)) {
                try (var pipe = node.configPipe()) {
                    // The node has opened it: it is starting, and waits for what comes.
                    node.signal("HUP");
                    pipe.write(config.getBytes(StandardCharsets.UTF_8));
                }
                node.awaitLog("warmed up with");
                try (var pipe = node.configPipe()) {
                    pipe.write(moved.getBytes(StandardCharsets.UTF_8));
                }
                assertNotNull(discovery.requests.poll(20, TimeUnit.SECONDS), node.log());
                assertTrue(node.process.isAlive(), node.log());
            }
        }
    }

    /**
     * Guards against a node that cannot reach discovery any more once its clients hold all
     * descriptors.
     */
    @Test
    void clientsAtRestLeaveDescriptorsForDiscoveryAndForServers() throws Exception {
        int discoveryPort = RunningNode.freePort();
        List<Client> resting = new ArrayList<>();
        try (StubServer server = StubServer.obedient();
                RunningNode node =
                        RunningNode.ready(
                                folder,
                                new TestConfig()
                                        .sockets(100)
                                        .withEndpoints(
                                                endpointJson(
                                                        "s-1", server.address(), "in_service")),
                                "127.0.0.1:" + discoveryPort)) {
            for (int i = 0; i < 200; i++) {
                Client each = node.client();
                resting.add(each);
                assertEquals(
                        200, each.ask("GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n").status());
            }
            try (StubServer discovery =
                            new StubServer(discoveryPort, (request, connection) -> true);
                    Client client = node.client()) {
                assertNotNull(discovery.requests.poll(10, TimeUnit.SECONDS), node.log());
                assertEquals(200, client.ask(Client.request("grant", "ok", "")).status());
                assertTrue(resting.get(0).atEnd(), "the oldest gives way");
            }
            for (Client each : resting) {
                each.close();
            }
        }
    }
}
