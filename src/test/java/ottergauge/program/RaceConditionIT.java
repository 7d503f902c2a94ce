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
 * Forces events to cross on the wire: the process is stopped while a request and an event that
 * invalidates it both arrive, and it reads them together when it continues. docs/crossings.md lists
 * the cases.
 */
@Timeout(120)
class RaceConditionIT {

    private static final String UNREACHABLE = "127.0.0.1:1";

    @TempDir private Path folder;

    private RunningNode nodeInFrontOf(StubServer server) throws Exception {
        return RunningNode.ready(
                folder,
                new TestConfig().withEndpoints(endpointJson("s-1", server.address(), "in_service")),
                UNREACHABLE);
    }

    /** A server that hands its connections to the test, which writes to them and closes them. */
    private static StubServer serverKeepingConnections(BlockingQueue<Socket> connections)
            throws Exception {
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
     * Guards against a node that forwards the request of a client that has disconnected. Such a
     * node had read the request, but not yet the end of the connection that arrived after it.
     */
    @ParameterizedTest
    @ValueSource(strings = {"end", "half-close", "reset"})
    void requestOfADisconnectedClientIsNotForwarded(String how) throws Exception {
        try (StubServer server = StubServer.queryControlled();
                RunningNode node = nodeInFrontOf(server);
                Client client = node.client()) {
            assertEquals(200, client.exchange(Client.request("grant", "ok", "")).status());
            server.requests.clear();
            Client leaving = node.client();
            assertEquals(200, leaving.exchange(Client.request("read", "ok", "")).status());
            assertNotNull(server.requests.poll(10, TimeUnit.SECONDS));
            node.pauseProcess();
            leaving.write(Client.request("grant", "ok", ""));
            switch (how) {
                case "end" -> leaving.close();
                case "half-close" -> leaving.socket().shutdownOutput();
                default -> {
                    leaving.socket().setSoLinger(true, 0);
                    leaving.close();
                }
            }
            node.resumeProcess();
            assertEquals(200, client.exchange(Client.request("grant", "last", "")).status());
            assertTrue(
                    server.requests.poll(10, TimeUnit.SECONDS).target().endsWith("last"),
                    "forwarded although its client had disconnected");
            leaving.close();
        }
    }

    /**
     * Guards against a node that forwards requests to a draining server. Such a node had read the
     * requests, but not yet the new list, which had arrived as well.
     */
    @Test
    void requestsThatArriveWithANewListUseThatList() throws Exception {
        int requestCount = 8;
        CountDownLatch change = new CountDownLatch(1);
        CountDownLatch changed = new CountDownLatch(1);
        try (StubServer drainingServer = StubServer.queryControlled();
                StubServer remainingServer = StubServer.queryControlled();
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
                                                                                drainingServer
                                                                                        .address(),
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
                                                endpointJson(
                                                        "s-1",
                                                        drainingServer.address(),
                                                        "in_service"),
                                                endpointJson(
                                                        "s-2",
                                                        remainingServer.address(),
                                                        "in_service")),
                                discovery.address())) {
            assertNotNull(discovery.requests.poll(10, TimeUnit.SECONDS));
            List<Client> clients = new ArrayList<>();
            for (int i = 0; i < requestCount; i++) {
                clients.add(node.client());
                assertEquals(
                        200, clients.get(i).exchange(Client.request("read", "ok", "")).status());
            }
            assertTrue(
                    !drainingServer.requests.isEmpty() && !remainingServer.requests.isEmpty(),
                    "both servers are in use before the change");
            drainingServer.requests.clear();
            node.pauseProcess();
            for (Client each : clients) {
                each.write(Client.request("read", "ok", ""));
            }
            change.countDown();
            assertTrue(changed.await(10, TimeUnit.SECONDS));
            node.resumeProcess();
            for (Client each : clients) {
                assertEquals(200, each.read().status());
                each.close();
            }
            assertTrue(
                    drainingServer.requests.isEmpty(),
                    drainingServer.requests.size() + " requests went to the draining server");
        }
    }

    /** Guards against a second response to the previous request being used for the next request. */
    @Test
    void unsolicitedResponseIsNotUsedForTheNextRequest() throws Exception {
        BlockingQueue<Socket> connections = new LinkedBlockingQueue<>();
        try (StubServer server = serverKeepingConnections(connections);
                RunningNode node = nodeInFrontOf(server);
                Client client = node.client()) {
            assertEquals("served one", client.exchange(Client.request("grant", "x", "one")).body());
            Socket keptOpen = connections.poll(10, TimeUnit.SECONDS);
            node.pauseProcess();
            client.write(Client.request("grant", "x", "two"));
            keptOpen.getOutputStream().write(HttpMessage.response(200, "", "served one"));
            node.resumeProcess();
            assertEquals("served two", client.read().body());
            node.awaitLog("code=MALFORMED");
        }
    }

    /**
     * Guards against a request that may or may not have run, because it was sent on a connection
     * that had already ended.
     */
    @ParameterizedTest
    @ValueSource(strings = {"end", "reset", "half a line"})
    void idleConnectionThatEndsAsARequestArrivesIsNotUsed(String how) throws Exception {
        BlockingQueue<Socket> connections = new LinkedBlockingQueue<>();
        try (StubServer server = serverKeepingConnections(connections);
                RunningNode node = nodeInFrontOf(server);
                Client client = node.client()) {
            assertEquals(200, client.exchange(Client.request("grant", "x", "one")).status());
            Socket keptOpen = connections.poll(10, TimeUnit.SECONDS);
            node.pauseProcess();
            client.write(Client.request("grant", "x", "two"));
            if ("half a line".equals(how)) {
                keptOpen.getOutputStream().write("HTTP/1.1 20".getBytes(StandardCharsets.US_ASCII));
            } else {
                keptOpen.setSoLinger("reset".equals(how), 0);
                keptOpen.close();
            }
            node.resumeProcess();
            assertEquals("served two", client.read().body());
            assertEquals(2, server.requests.size(), "it was sent more than once");
        }
    }

    /**
     * Guards against a response that is lost because the connection is reset while it has bytes
     * that the node has not read.
     */
    @Test
    void connectionClosesGracefullyWhileItsClientStillSends() throws Exception {
        try (StubServer server = StubServer.queryControlled();
                RunningNode node = nodeInFrontOf(server);
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
                    "the connection was reset");
            client.socket().close();
            try (Client next = node.client()) {
                assertEquals(200, next.exchange(Client.request("grant", "last", "")).status());
            }
            assertEquals(
                    2,
                    server.requests.size(),
                    "a request after the end of the connection was accepted");
        }
    }

    /**
     * Guards against requests read after the output of the connection was shut down: their
     * responses could not be sent.
     */
    @Test
    void requestOnAConnectionThatTheNodeIsClosingIsIgnored() throws Exception {
        try (StubServer server = StubServer.queryControlled();
                RunningNode node = nodeInFrontOf(server);
                Client idle = node.client();
                Client open = node.client()) {
            assertEquals(200, idle.exchange(Client.request("grant", "ok", "")).status());
            open.write(Client.request("grant", "silence", ""));
            assertNotNull(server.requests.poll(10, TimeUnit.SECONDS));
            assertNotNull(server.requests.poll(10, TimeUnit.SECONDS));
            node.signal("TERM");
            assertTrue(
                    idle.socket().getInputStream().read() < 0,
                    "closed once no new clients have connected for a while");
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
            assertTrue(server.requests.isEmpty(), "accepted after its connection was closed");
        }
    }

    /** A request whose last byte arrives after the node got SIGTERM twice is served. */
    @Test
    void requestPartlyReadAtShutdownIsServed() throws Exception {
        try (StubServer server = StubServer.queryControlled();
                RunningNode node = nodeInFrontOf(server);
                Client client = node.client();
                Client idle = node.client()) {
            assertEquals(200, idle.exchange(Client.request("read", "ok", "")).status());
            String request = Client.request("grant", "ok", "12345678");
            client.write(request.substring(0, request.length() - 4));
            node.signal("TERM");
            node.awaitLog("is shutting down");
            node.signal("TERM");
            assertTrue(idle.socket().getInputStream().read() < 0);
            idle.socket().close();
            client.write(request.substring(request.length() - 4));
            HttpMessage reply = client.read();
            assertEquals("served 12345678", reply.body());
            assertEquals("close", reply.headers().get("connection"));
            client.socket().close();
            assertEquals(143, node.exitCode());
        }
    }

    /** Guards against a node that is ended by SIGHUP, which asks it to reload its configuration. */
    @Test
    void sighupDuringStartReloadsOnceTheNodeRuns() throws Exception {
        try (StubServer server = StubServer.queryControlled();
                StubServer discovery = new StubServer((request, connection) -> true)) {
            int port = RunningNode.freePort();
            String config =
                    new TestConfig()
                            .withEndpoints(endpointJson("s-1", server.address(), "in_service"))
                            .withAddresses("127.0.0.1:" + port, UNREACHABLE)
                            .json();
            String moved = config.replace(UNREACHABLE, discovery.address());
            try (RunningNode node = RunningNode.fromPipe(folder, port)) {
                try (var pipe = node.configPipe()) {
                    // The node has opened the pipe: it is starting and waits for its configuration.
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
     * Guards against a node that can no longer connect to discovery once its clients use up all
     * descriptors.
     */
    @Test
    void idleClientsLeaveDescriptorsForDiscoveryAndServers() throws Exception {
        int discoveryPort = RunningNode.freePort();
        List<Client> keptOpen = new ArrayList<>();
        try (StubServer server = StubServer.queryControlled();
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
                keptOpen.add(each);
                assertEquals(
                        200,
                        each.exchange("GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n").status());
            }
            try (StubServer discovery =
                            new StubServer(discoveryPort, (request, connection) -> true);
                    Client client = node.client()) {
                assertNotNull(discovery.requests.poll(10, TimeUnit.SECONDS), node.log());
                assertEquals(200, client.exchange(Client.request("grant", "ok", "")).status());
                assertTrue(keptOpen.get(0).atEnd(), "the oldest connection is closed");
            }
            for (Client each : keptOpen) {
                each.close();
            }
        }
    }
}
