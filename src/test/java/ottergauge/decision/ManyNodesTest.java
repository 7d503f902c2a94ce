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

/**
 * Tests the combined effect of many nodes, each of which sees only a small fraction of the
 * requests.
 */
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

    private static TestSettings withConnectionCost() {
        TestSettings settings = new TestSettings();
        settings.connectionCost = 0.03;
        return settings;
    }

    /**
     * Sends a request, after any pause of the node itself, ends it successfully and returns its
     * server.
     */
    private static long serve(TestNode node, String id, long elapsed) {
        SendAttempt send = sendOf(node, node.arrive(id));
        answer(node, id, send.server(), elapsed);
        return send.server();
    }

    private static SendAttempt sendOf(TestNode node, List<DecisionAction> actions) {
        for (int i = 0; i < 40 && TestNode.ofType(SendAttempt.class, actions).isEmpty(); i++) {
            actions = node.after(25 * MS);
        }
        return TestNode.onlyOfType(SendAttempt.class, actions);
    }

    /**
     * Returns the server that the node's next request is sent to. Probed servers report that they
     * are idle.
     */
    private static long sentTo(TestNode node, String id) {
        List<DecisionAction> actions = node.arrive(id);
        while (TestNode.ofType(SendAttempt.class, actions).isEmpty()) {
            actions = node.probed(TestNode.onlyOfType(SendProbe.class, actions).server(), 0);
        }
        return TestNode.onlyOfType(SendAttempt.class, actions).server();
    }

    private static void answer(TestNode node, String id, long server, long elapsed) {
        node.now += elapsed;
        node.deliver(
                new AttemptEnded(
                        id, 0, server, AttemptResult.SERVED, elapsed, true, LoadReport.NONE));
    }

    // ---- The subset
    // ---------------------------------------------------------------------------------

    @Test
    void withConnectionCostsEachNodeUsesFewServersAndAllNodesTogetherUseAll() {
        Map<Long, Integer> users = new HashMap<>();
        for (TestNode node : fleet(withConnectionCost())) {
            Set<Long> used = new HashSet<>();
            for (int i = 0; i < 20; i++) {
                used.add(serve(node, "a" + i, 50 * MS));
            }
            assertTrue(used.size() >= 2 && used.size() <= 6, "servers of one node: " + used.size());
            used.forEach(s -> users.merge(s, 1, Integer::sum));
        }
        assertEquals(SERVERS, users.size(), "servers in use");
        int most = users.values().stream().max(Integer::compare).orElseThrow();
        // The mean is 24. With random subsets one of fifty servers would have about 36.
        assertTrue(most <= 30, "nodes at one server: " + most);
    }

    @Test
    void anEjectedServerIsReplacedInTheSubset() {
        TestSettings settings = withConnectionCost();
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
                        node.endAttempt(
                                "b" + i, 0, send.server(), AttemptResult.CONNECT_FAILED, 5 * MS);
                TestNode.ofType(SendAttempt.class, next)
                        .forEach(
                                s -> {
                                    after.add(s.server());
                                    node.now += 50 * MS;
                                    node.endAttempt(
                                            s.id(), 1, s.server(), AttemptResult.SERVED, 50 * MS);
                                });
            } else {
                after.add(send.server());
                node.endAttempt("b" + i, 0, send.server(), AttemptResult.SERVED, 5 * MS);
            }
        }
        after.removeAll(before);
        assertTrue(after.size() >= 3, "servers that replaced ejected ones: " + after);
    }

    @Test
    void firstRequestsOfManyNodesSpreadOverTheServers() {
        Map<Long, Integer> first = new HashMap<>();
        TestSettings settings = new TestSettings();
        settings.probes = true;
        for (TestNode node : fleet(settings, 30)) {
            first.merge(sentTo(node, "a"), 1, Integer::sum);
        }
        int most = first.values().stream().max(Integer::compare).orElseThrow();
        // Every node's subset contains all thirty servers. The mean is ten nodes per server; with a
        // random choice one server has about seventeen.
        assertTrue(first.size() >= 28 && most <= 22, first.size() + " servers, most " + most);
    }

    /**
     * When half of all nodes had the same server in their subsets, they saw the same free core and
     * all used it at once.
     */
    @Test
    void eachServerIsInTheSubsetsOfFewNodes() {
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

    // ---- Slow start
    // -------------------------------------------------------------------------------

    @Test
    void allNodesTogetherKeepTheSlowStartBudgetOfAServer() {
        TestSettings settings = new TestSettings();
        settings.probes = true;
        List<TestNode> nodes = fleet(settings);
        int slowStartSends = 0;
        long start = nodes.get(0).now;
        for (TestNode node : nodes) {
            answer(node, "warm", sentTo(node, "warm"), 100 * MS);
            node.updateServer(1, EndpointState.UP, node.now);
        }
        for (int round = 0; round < 10; round++) {
            for (TestNode node : nodes) {
                node.now = start + 100 * MS + (round + 1) * 100L * MS;
                String id = "r" + round;
                long server = sentTo(node, id);
                slowStartSends += server == 1 ? 1 : 0;
                answer(node, id, server, 100 * MS);
            }
        }
        // The budget in the first second is 3 times 0.2 to 0.28 of ten requests per second.
        assertTrue(
                slowStartSends >= 1 && slowStartSends <= 9,
                "sent to the server in slow start: " + slowStartSends);
    }

    // ---- Probes
    // -------------------------------------------------------------------------------------

    @Test
    void aRequestProbesALimitedPartOfABusyFleet() {
        TestSettings settings = new TestSettings();
        settings.probes = true;
        settings.nodes = NODES;
        TestNode node = new TestNode(settings.build());
        node.servers(SERVERS);
        answer(node, "first", sentTo(node, "first"), 500 * MS);
        node.after(1_000 * MS);
        int before = TestNode.ofType(SendProbe.class, node.allActions).size();
        List<DecisionAction> actions = node.arrive("held");
        long end = node.now + 1_000 * MS;
        while (node.now < end) {
            for (SendProbe probe : TestNode.ofType(SendProbe.class, actions)) {
                node.now += MS;
                actions = node.probed(probe.server(), 4);
            }
            actions =
                    TestNode.ofType(SendProbe.class, actions).isEmpty()
                            ? node.after(5 * MS)
                            : actions;
        }
        int probes = TestNode.ofType(SendProbe.class, node.allActions).size() - before;
        // Probes may cost 0.06 of the result, and one probe costs 0.002.
        assertTrue(probes >= 3 && probes <= 30, "probes of one request: " + probes);
    }
}
