// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionAction;
import ottergauge.decision.api.DecisionAction.SendAttempt;
import ottergauge.decision.api.DecisionAction.SendProbe;
import ottergauge.decision.api.DecisionEvent.AttemptEnded;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.LoadReport;

/** What many nodes do in the sum: each sees next to nothing, and all act at once. */
class ManyNodesTest {
    private static final long MS = TestNode.MS;
    private static final int NODES = 300;
    private static final int SERVERS = 50;

    private static List<TestNode> fleet(TestSettings settings) {
        return fleet(settings, SERVERS);
    }

    private static List<TestNode> fleet(TestSettings settings, int servers) {
        List<TestNode> nodes = new ArrayList<>();
        settings.nodes = NODES;
        for (int i = 0; i < NODES; i++) {
            settings.node = i;
            TestNode node = new TestNode(settings.build(), 1000 + i);
            node.servers(servers);
            nodes.add(node);
        }
        return nodes;
    }

    private static TestSettings pricedConnections() {
        TestSettings settings = new TestSettings();
        settings.connectionPrice = 0.03;
        return settings;
    }

    /**
     * Sends a request, waiting for the node's own pauses, lets it be served, and returns its
     * server.
     */
    private static long serve(TestNode node, String id, long elapsed) {
        SendAttempt send = sendOf(node, node.arrive(id));
        answer(node, id, send.server(), elapsed);
        return send.server();
    }

    private static SendAttempt sendOf(TestNode node, List<DecisionAction> actions) {
        for (int i = 0; i < 40 && TestNode.those(SendAttempt.class, actions).isEmpty(); i++) {
            actions = node.after(25 * MS);
        }
        return TestNode.only(SendAttempt.class, actions);
    }

    /**
     * The server that the node's next request ends up at; probed servers answer that they are idle.
     */
    private static long sentTo(TestNode node, String id) {
        List<DecisionAction> actions = node.arrive(id);
        while (TestNode.those(SendAttempt.class, actions).isEmpty()) {
            actions = node.probed(TestNode.only(SendProbe.class, actions).server(), 0);
        }
        return TestNode.only(SendAttempt.class, actions).server();
    }

    private static void answer(TestNode node, String id, long server, long elapsed) {
        node.now += elapsed;
        node.on(
                new AttemptEnded(
                        id, 0, server, AttemptResult.SERVED, elapsed, true, LoadReport.NONE));
    }

    // ---- The subset
    // ---------------------------------------------------------------------------------

    @Test
    void whereConnectionsCostEachNodeUsesFewServersAndAllNodesUseAll() {
        Map<Long, Integer> users = new HashMap<>();
        for (TestNode node : fleet(pricedConnections())) {
            Set<Long> used = new HashSet<>();
            for (int i = 0; i < 20; i++) {
                used.add(serve(node, "a" + i, 50 * MS));
            }
            assertTrue(used.size() >= 2 && used.size() <= 6, "servers of one node: " + used.size());
            used.forEach(s -> users.merge(s, 1, Integer::sum));
        }
        assertEquals(SERVERS, users.size(), "servers in use");
        int most = users.values().stream().max(Integer::compare).orElseThrow();
        // 24 at the mean; drawn by chance, one of fifty would have about 36.
        assertTrue(most <= 30, "nodes at one server: " + most);
    }

    @Test
    void aBarredServersPlaceIsTakenByTheNextOne() {
        TestSettings settings = pricedConnections();
        settings.nodes = NODES;
        TestNode node = new TestNode(settings.build());
        node.servers(SERVERS);
        Set<Long> before = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            before.add(serve(node, "a" + i, 50 * MS));
        }
        Set<Long> after = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            SendAttempt send = sendOf(node, node.arrive("b" + i));
            boolean down = before.contains(send.server());
            node.now += 5 * MS;
            if (down) {
                List<DecisionAction> next =
                        node.ended("b" + i, 0, send.server(), AttemptResult.CONNECT_FAILED, 5 * MS);
                TestNode.those(SendAttempt.class, next)
                        .forEach(
                                s -> {
                                    after.add(s.server());
                                    node.now += 50 * MS;
                                    node.ended(
                                            s.id(), 1, s.server(), AttemptResult.SERVED, 50 * MS);
                                });
            } else {
                after.add(send.server());
                node.ended("b" + i, 0, send.server(), AttemptResult.SERVED, 5 * MS);
            }
        }
        after.removeAll(before);
        assertTrue(after.size() >= 3, "servers that took the place: " + after);
    }

    @Test
    void firstTurnsOfManyNodesSpreadOverTheServers() {
        Map<Long, Integer> first = new HashMap<>();
        TestSettings settings = new TestSettings();
        settings.probes = true;
        for (TestNode node : fleet(settings, 30)) {
            first.merge(sentTo(node, "a"), 1, Integer::sum);
        }
        int most = first.values().stream().max(Integer::compare).orElseThrow();
        // Every node has all thirty. Ten a server at the mean; by chance alone one has about
        // seventeen.
        assertTrue(first.size() >= 28 && most <= 22, first.size() + " servers, most " + most);
    }

    /** Half of all nodes at each server saw the same free core and took it all at once. */
    @Test
    void eachServerIsInTheSubsetsOfAFewNodesWhereEveryClientHasItsOwn() {
        Map<Long, Integer> users = new HashMap<>();
        TestSettings settings = new TestSettings();
        settings.nodes = 60;
        for (int i = 0; i < settings.nodes; i++) {
            settings.node = i;
            TestNode node = new TestNode(settings.build(), 1000 + i);
            node.servers(SERVERS);
            Set<Long> used = new HashSet<>();
            for (int k = 0; k < 60; k++) {
                used.add(serve(node, "a" + k, 50 * MS));
            }
            assertTrue(
                    used.size() >= 8 && used.size() <= 12, "servers of one node: " + used.size());
            used.forEach(s -> users.merge(s, 1, Integer::sum));
        }
        assertEquals(SERVERS, users.size(), "servers in use");
        int most = users.values().stream().max(Integer::compare).orElseThrow();
        assertTrue(most <= 18, "nodes at one server: " + most);
    }

    // ---- Cold servers
    // -------------------------------------------------------------------------------

    @Test
    void aColdServerGetsItsBudgetFromAllNodesInTheSum() {
        TestSettings settings = new TestSettings();
        settings.probes = true;
        List<TestNode> nodes = fleet(settings);
        int cold = 0;
        long start = nodes.get(0).now;
        for (TestNode node : nodes) {
            answer(node, "warm", sentTo(node, "warm"), 100 * MS);
            node.change(1, EndpointState.UP, node.now);
        }
        for (int round = 0; round < 10; round++) {
            for (TestNode node : nodes) {
                node.now = start + 100 * MS + (round + 1) * 100L * MS;
                String id = "r" + round;
                long server = sentTo(node, id);
                cold += server == 1 ? 1 : 0;
                answer(node, id, server, 100 * MS);
            }
        }
        // The rule's budget in this first second: 3 times 0.2 to 0.28 of ten requests a second.
        assertTrue(cold >= 1 && cold <= 9, "sent to the cold server: " + cold);
    }

    // ---- Probes
    // -------------------------------------------------------------------------------------

    @Test
    void aRequestSoundsABoundedPartOfABusyFleet() {
        TestSettings settings = new TestSettings();
        settings.probes = true;
        settings.nodes = NODES;
        TestNode node = new TestNode(settings.build());
        node.servers(SERVERS);
        answer(node, "first", sentTo(node, "first"), 500 * MS);
        node.after(1_000 * MS);
        int before = TestNode.those(SendProbe.class, node.all).size();
        List<DecisionAction> actions = node.arrive("held");
        long end = node.now + 1_000 * MS;
        while (node.now < end) {
            for (SendProbe probe : TestNode.those(SendProbe.class, actions)) {
                node.now += MS;
                actions = node.probed(probe.server(), 4);
            }
            actions =
                    TestNode.those(SendProbe.class, actions).isEmpty()
                            ? node.after(5 * MS)
                            : actions;
        }
        int probes = TestNode.those(SendProbe.class, node.all).size() - before;
        // 0.06 of the result at 0.002 a probe.
        assertTrue(probes >= 3 && probes <= 30, "probes of one request: " + probes);
    }
}
