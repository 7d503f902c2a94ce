// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.GRANT;
import static ottergauge.protocol.TestConfig.PAY;
import static ottergauge.protocol.TestConfig.READ;
import static ottergauge.protocol.TestConfig.endpointJson;
import static ottergauge.protocol.TestConfig.endpointStartedAt;
import static ottergauge.protocol.TestConfig.requestClass;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Named;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import ottergauge.protocol.Content;
import ottergauge.protocol.RequestFields;
import ottergauge.protocol.TestConfig;
import ottergauge.resources.LogPosition;
import ottergauge.routing.Effect.CancelPoll;
import ottergauge.routing.Effect.CloseUpstream;
import ottergauge.routing.Effect.ConnectUpstream;
import ottergauge.routing.Effect.Forward;
import ottergauge.routing.Effect.PollDiscovery;
import ottergauge.routing.Effect.Respond;
import ottergauge.routing.Effect.RespondToAdmin;

/**
 * Tests settings and endpoint lists that change while the node runs, on SIGHUP or from the change
 * log.
 */
class SettingsReloadTest {

    private static final String ONE = endpointJson("s-1", "10.0.0.1:80", "in_service");
    private static final String TWO = endpointJson("s-2", "10.0.0.2:80", "in_service");
    private static final String ONE_REMOVED = endpointJson("s-1", "10.0.0.1:80", "terminated");
    private static final String AUDIT = requestClass("audit", "single_shot", 1000);
    private static final String TWO_ADDRESS = "10.0.0.2:80";

    private static RouterDriver one() {
        return new RouterDriver(new TestConfig().withEndpoints(ONE));
    }

    private static TestConfig classes(String... entries) {
        return new TestConfig().classes(entries);
    }

    private static String inZone(String entry, String zone) {
        return entry.replace("\"site\":\"a\"", "\"site\":\"" + zone + "\"");
    }

    /** The two sources of new settings. */
    static Stream<Named<BiConsumer<RouterDriver, TestConfig>>> sources() {
        return Stream.of(
                Named.of("SIGHUP", RouterDriver::reconfigure),
                Named.of(
                        "change log",
                        (node, config) -> node.changeState(120, Optional.of(config), false)));
    }

    // ---- Classes ----

    @ParameterizedTest
    @MethodSource("sources")
    void newClass_isServedAtOnceOverIdleConnections(BiConsumer<RouterDriver, TestConfig> source) {
        RouterDriver node = one();
        Forward first = node.forwardOnNewConnection("read");
        node.serve(first);
        node.expect(Respond.class);
        long early = node.request("audit");
        assertEquals(400, node.status(early));
        source.accept(node, classes(AUDIT, READ, PAY, GRANT));
        node.expectNo(CloseUpstream.class);
        node.request("audit");
        Forward forward = node.expect(Forward.class);
        assertEquals(first.connection(), forward.connection());
        node.serve(forward);
        assertEquals(200, node.expect(Respond.class).status());
    }

    @ParameterizedTest
    @MethodSource("sources")
    void removedClass_servesQueuedRequestsAndRejectsNewOnes(
            BiConsumer<RouterDriver, TestConfig> source) {
        RouterDriver node = new RouterDriver(new TestConfig());
        long waiting = node.request("grant");
        source.accept(node, classes(READ));
        long late = node.request("grant");
        assertEquals(400, node.status(late));
        node.expectNo(Respond.class);
        node.changeState(121, Optional.empty(), true, ONE);
        node.serve(node.connectNext());
        assertEquals(200, node.status(waiting));
        assertEquals(0, metric(node, "pending"));
    }

    /**
     * Guards against executing a request twice: the new settings allow retries for its class, but
     * the node accepted it as one that must not be retried if it may have had an effect.
     */
    @ParameterizedTest
    @MethodSource("sources")
    void inFlightRequest_keepsTheClassThatItWasAcceptedWith(
            BiConsumer<RouterDriver, TestConfig> source) {
        RouterDriver node = one();
        long client = node.request("grant");
        Forward forward = node.connectNext();
        node.written(forward);
        source.accept(node, classes(requestClass("grant", "free", 1000)));
        node.handle(new Event.UpstreamClosed(forward.connection(), false));
        assertEquals(502, node.status(client));
        node.expectNo(Forward.class);
    }

    @ParameterizedTest
    @MethodSource("sources")
    void pendingRetry_keepsItsDeadline(BiConsumer<RouterDriver, TestConfig> source) {
        RouterDriver node = one();
        long client = node.client();
        node.handle(
                new Event.RequestReceived(
                        client,
                        new Event.ClientRequest(
                                new RequestFields("id", "read", -1, false, null),
                                "GET",
                                "/api",
                                Content.NONE),
                        0));
        ConnectUpstream connect = node.expect(ConnectUpstream.class);
        source.accept(node, classes(requestClass("read", "free", 200)));
        node.advanceMs(100);
        node.handle(new Event.UpstreamConnectFailed(connect.connection()));
        node.advanceMs(200);
        node.expectNo(Respond.class);
        Forward forward = node.connectNext();
        assertTrue(forward.timeoutMicros() > 200_000, "waits " + forward.timeoutMicros());
        node.serve(forward);
        assertEquals(200, node.status(client));
    }

    /**
     * Guards against mixing up classes: the node identifies a class by its name, not by its
     * position in the settings. It rejects a request that does not match its own class.
     */
    @ParameterizedTest
    @MethodSource("sources")
    void reorderedClasses_keepTheirMeaning(BiConsumer<RouterDriver, TestConfig> source) {
        RouterDriver node = one();
        source.accept(node, classes(GRANT, READ, PAY));
        for (String name : new String[] {"read", "pay", "grant"}) {
            long client = node.request(name);
            Forward forward =
                    node.has(ConnectUpstream.class)
                            ? node.connectNext()
                            : node.expect(Forward.class);
            node.serve(forward);
            assertEquals(200, node.status(client), name);
            assertEquals(1, metric(node, "completed." + name));
        }
        long keyless = node.client();
        node.handle(
                new Event.RequestReceived(
                        keyless,
                        new Event.ClientRequest(
                                new RequestFields("id", "pay", 500, false, null),
                                "POST",
                                "/api",
                                Content.NONE),
                        0));
        assertEquals(400, node.status(keyless));
    }

    @Test
    void class_keepsItsMetricsForAsLongAsItIsDefined() {
        RouterDriver node = one();
        node.serve(node.forwardOnNewConnection("read"));
        node.expect(Respond.class);
        node.reconfigure(classes(GRANT, READ));
        assertEquals(1, metric(node, "completed.read"));
        node.reconfigure(classes(GRANT));
        assertFalse(metrics(node).contains("completed.read"));
        node.reconfigure(classes(READ));
        assertEquals(0, metric(node, "completed.read"));
    }

    @Test
    void changeAndItsReverse_leaveQueuedRequestsAsTheyWere() {
        RouterDriver node = one();
        long client = node.request("pay");
        node.reconfigure(classes(READ));
        node.reconfigure(new TestConfig());
        node.serve(node.connectNext());
        assertEquals(200, node.status(client));
        long next = node.request("pay");
        node.serve(node.expect(Forward.class));
        assertEquals(200, node.status(next));
    }

    private static String metrics(RouterDriver node) {
        node.handle(new Event.AdminRequestReceived(1, new AdminRequest.Stats()));
        return node.expect(RespondToAdmin.class).text();
    }

    private static long metric(RouterDriver node, String name) {
        return metrics(node)
                .lines()
                .filter(line -> line.startsWith("balancer." + name + "="))
                .mapToLong(line -> Long.parseLong(line.substring(line.indexOf('=') + 1)))
                .sum();
    }

    // ---- Settings of servers and connections ----

    /**
     * Guards against a request that takes effect in two zones: in the new order of zones, each zone
     * has the index that the other one had before.
     */
    @ParameterizedTest
    @MethodSource("sources")
    void reorderedZones_stayApart(BiConsumer<RouterDriver, TestConfig> source) {
        String other = inZone(TWO, "b");
        RouterDriver node = new RouterDriver(new TestConfig().withEndpoints(ONE));
        long client = node.request("pay");
        Forward forward = node.connectNext();
        node.written(forward);
        source.accept(node, new TestConfig().zones("b", "a"));
        node.changeState(121, Optional.empty(), false, other);
        node.handle(new Event.UpstreamClosed(forward.connection(), false));
        node.advanceMs(1000);
        // The node may retry the request at the only server of its zone, and at no other server.
        while (node.has(ConnectUpstream.class)) {
            assertNotEquals(TWO_ADDRESS, node.expect(ConnectUpstream.class).address().toString());
        }
        assertEquals(502, node.status(client));
    }

    /**
     * All zones that the settings do not name count as one zone, in which a request may be retried
     * at either server. The new settings name both zones, so the request must stay in its zone.
     */
    @ParameterizedTest
    @MethodSource("sources")
    void addedZones_applyToListedServers(BiConsumer<RouterDriver, TestConfig> source) {
        RouterDriver node =
                new RouterDriver(
                        new TestConfig().withEndpoints(inZone(ONE, "c"), inZone(TWO, "d")));
        source.accept(node, new TestConfig().zones("a", "b", "c", "d"));
        long client = node.request("pay");
        ConnectUpstream first = node.expect(ConnectUpstream.class);
        node.handle(new Event.UpstreamConnected(first.connection()));
        Forward forward = node.expect(Forward.class);
        node.written(forward);
        node.handle(new Event.UpstreamClosed(forward.connection(), false));
        node.advanceMs(1000);
        while (node.has(ConnectUpstream.class)) {
            assertEquals(first.address(), node.expect(ConnectUpstream.class).address());
        }
        assertEquals(502, node.status(client));
    }

    @ParameterizedTest
    @MethodSource("sources")
    void idleConnections_areClosedAfterTheEffectiveTimeout(
            BiConsumer<RouterDriver, TestConfig> source) {
        RouterDriver node = one();
        node.serve(node.forwardOnNewConnection("read"));
        node.advanceMs(3_000);
        node.expectNo(CloseUpstream.class);
        source.accept(node, new TestConfig().serverIdleTimeoutMs(2_000));
        node.advanceMs(500);
        assertEquals(CloseReason.IDLE, node.expect(CloseUpstream.class).reason());
    }

    @Test
    void discoveryPolls_waitNoLongerThanTheEffectiveInterval() {
        RouterDriver node = one();
        node.receiveList(42, true, ONE);
        node.reconfigure(new TestConfig().maxPollIntervalMs(1_000));
        while (node.has(PollDiscovery.class)) {
            node.expect(PollDiscovery.class);
        }
        for (long seq = 43; seq < 53; seq++) {
            node.receiveList(seq, true, ONE);
            long waits = node.expect(PollDiscovery.class).maxWaitMicros();
            assertTrue(
                    waits <= 500_000, "waits for " + waits + " us with an interval of one second");
        }
    }

    // ---- State from the change log ----

    /**
     * Guards against losing a queued request when servers and settings change together. The request
     * has only one attempt. If the node applied the new settings before the new list, it would use
     * that attempt at the removed server.
     */
    @Test
    void endpointsAndSettings_takeEffectAtTheSameTime() {
        RouterDriver node =
                new RouterDriver(
                        new TestConfig()
                                .withMaxAttempts(1)
                                .nodeCount(50_000)
                                .withEndpoints(
                                        endpointStartedAt("s-1", "10.0.0.1:80", 1_000_000_000)));
        node.request("grant");
        node.expectNo(ConnectUpstream.class);
        node.changeState(120, Optional.of(new TestConfig().nodeCount(1)), false, ONE_REMOVED, TWO);
        assertEquals(TWO_ADDRESS, node.expect(ConnectUpstream.class).address().toString());
        node.expectNo(Respond.class);
        assertEquals(Optional.of(new LogPosition("log", 120)), node.version());
    }

    /**
     * The node replaces an attempt that waits for a connection to a removed server by an attempt at
     * another server.
     */
    @Test
    void attemptWaitingForARemovedServer_isSentToAnother() {
        RouterDriver node = one();
        node.request("grant");
        node.expect(ConnectUpstream.class);
        node.changeState(120, Optional.of(classes(READ, AUDIT)), false, ONE_REMOVED, TWO);
        assertEquals(TWO_ADDRESS, node.expect(ConnectUpstream.class).address().toString());
        node.expectNo(ConnectUpstream.class);
    }

    @Test
    void changeOutsideTheSubscription_stillAdvancesTheVersion() {
        RouterDriver node = one();
        assertEquals(Optional.empty(), node.version());
        assertFalse(metrics(node).contains("state_version"));
        node.changeState(120, Optional.empty(), false);
        assertEquals(Optional.of(new LogPosition("log", 120)), node.version());
        assertEquals(120, metric(node, "state_version"));
        node.serve(node.forwardOnNewConnection("read"));
        assertEquals(200, node.expect(Respond.class).status());
    }

    /** Guards against two sources of the endpoint list that undo each other's changes. */
    @Test
    void discovery_isNotPolledOnceEndpointsComeFromTheChangeLog() {
        RouterDriver node = one();
        node.advanceMs(200);
        long call = node.expect(PollDiscovery.class).poll();
        node.changeState(120, Optional.empty(), true, TWO);
        assertEquals(call, node.expect(CancelPoll.class).poll());
        node.receiveList(42, true, ONE);
        node.pollFailed();
        node.reconfigure(new TestConfig().withAddresses("127.0.0.1:3000", "127.0.0.1:8501"));
        node.advanceMs(60_000);
        node.expectNo(PollDiscovery.class);
        // The node keeps using its last list until a newer one arrives: the control process may be
        // unreachable.
        node.request("read");
        ConnectUpstream connect = node.expect(ConnectUpstream.class);
        assertEquals(TWO_ADDRESS, connect.address().toString());
        node.handle(new Event.UpstreamConnected(connect.connection()));
        node.serve(node.expect(Forward.class));
        assertEquals(200, node.expect(Respond.class).status());
    }

    /**
     * Guards against all nodes using the same index, which selects the servers that a node uses:
     * settings from the change log are the same for all nodes and can't contain an index.
     */
    @Test
    void node_keepsItsIndexUnderSharedSettings() {
        String[] servers =
                IntStream.range(0, 50)
                        .mapToObj(i -> endpointJson("s-" + i, "10.0.1." + i + ":80", "in_service"))
                        .toArray(String[]::new);
        RouterDriver node =
                new RouterDriver(
                        new TestConfig()
                                .nodeIndex(7)
                                .probingNodes(1000, 0.08)
                                .withEndpoints(servers));
        Set<String> before = used(node);
        node.changeState(
                120,
                Optional.of(new TestConfig().probingNodes(1000, 0.08).classes(READ, AUDIT)),
                false);
        assertEquals(before, used(node));
    }

    private static Set<String> used(RouterDriver node) {
        Set<String> used = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            node.request("read");
            ConnectUpstream connect = node.expect(ConnectUpstream.class);
            used.add(connect.address().toString());
            node.handle(new Event.UpstreamConnected(connect.connection()));
            Forward forward = node.expect(Forward.class);
            node.written(forward);
            // The server's response makes the connection not reusable. Each request therefore opens
            // a new connection, whose address shows the chosen server.
            node.answer(forward, 200, false, false);
            node.expect(Respond.class);
            node.advanceMs(20);
        }
        return used;
    }

    /**
     * Guards against a SIGHUP that replaces the settings from the change log by those in the
     * configuration file.
     */
    @Test
    void settingsOfTheFile_areIgnoredOnceTheChangeLogHasSettings() {
        RouterDriver node = one();
        node.changeState(120, Optional.of(classes(AUDIT)), false);
        node.reconfigure(new TestConfig().sockets(512));
        long client = node.request("read");
        assertEquals(400, node.status(client));
        node.serve(node.forwardOnNewConnection("audit"));
        assertEquals(200, node.expect(Respond.class).status());
    }
}
