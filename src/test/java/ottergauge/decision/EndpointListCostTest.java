// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ObjIntConsumer;
import org.junit.jupiter.api.Test;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionAction.SendAttempt;
import ottergauge.decision.api.DecisionEvent.EndpointUpdate;
import ottergauge.decision.api.Endpoint;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.UpdateScope;

/**
 * Checks that the cost of an event depends on the event and not on the length of the endpoint list.
 * The cost is measured as the number of servers visited. Eight times as many servers add three
 * levels to a balanced binary tree.
 */
class EndpointListCostTest {

    private static final long MS = TestNode.MS;
    private static final int SMALL = 1_000;
    private static final int LARGE = 8_000;
    private static final int TIMES = 100;
    // With this small number of nodes the subset has its maximum size for both lists.
    private static final int NODES = 50;
    // The logarithm of 8,000 is 1.3 times that of 1,000. The rest allows for the random shape of
    // the trees.
    private static final double MAX_GROWTH = 1.6;

    private static TestNode node(int servers) {
        TestSettings settings = new TestSettings();
        settings.nodes = NODES;
        settings.node = 17;
        TestNode node = new TestNode(settings.build());
        node.servers(servers);
        return node;
    }

    /** Returns the mean number of servers that an operation visits at a node with such a list. */
    private static double visits(int servers, ObjIntConsumer<TestNode> operation) {
        TestNode node = node(servers);
        long before = node.engine.serverVisits();
        for (int i = 0; i < TIMES; i++) {
            operation.accept(node, i);
        }
        return (node.engine.serverVisits() - before) / (double) TIMES;
    }

    private static void assertHardlyGrows(ObjIntConsumer<TestNode> operation) {
        double small = visits(SMALL, operation);
        double large = visits(LARGE, operation);
        assertTrue(
                large <= MAX_GROWTH * small + 1,
                "visited " + small + " of " + SMALL + " servers, and " + large + " of " + LARGE);
    }

    /** Guards against a count that misses visits: a full endpoint update does visit all servers. */
    @Test
    void theCountIncludesAVisitOfAllServers() {
        TestNode node = node(LARGE);
        long before = node.engine.serverVisits();
        node.servers(LARGE);
        assertTrue(node.engine.serverVisits() - before >= LARGE, "the visits weren't counted");
    }

    @Test
    void anIncrementalUpdateOfOneServer() {
        assertHardlyGrows((node, i) -> node.updateServer(1 + 7 * i, EndpointState.DRAINING, 0));
        assertHardlyGrows((node, i) -> node.updateServer(1 + 7 * i, EndpointState.REMOVED, 0));
        assertHardlyGrows((node, i) -> node.updateServer(1 + 7 * i, EndpointState.UP, node.now));
        assertHardlyGrows((node, i) -> node.updateServer(100_000 + i, EndpointState.UP, node.now));
    }

    /** When a zone is lost, the cost depends only on the number of servers in the update. */
    @Test
    void anIncrementalUpdateOfManyServers() {
        assertHardlyGrows(
                (node, i) -> {
                    List<Endpoint> lost = new ArrayList<>();
                    for (int k = 0; k < 5; k++) {
                        lost.add(TestNode.server(1 + 5 * i + k, EndpointState.REMOVED, 0));
                    }
                    node.deliver(new EndpointUpdate(UpdateScope.INCREMENTAL, lost));
                });
    }

    @Test
    void aRequestItsResponseAndItsFailures() {
        assertHardlyGrows((node, i) -> node.serve("r" + i, MS));
        assertHardlyGrows((node, i) -> fail(node, "r" + i, AttemptResult.ERROR));
        assertHardlyGrows((node, i) -> fail(node, "r" + i, AttemptResult.REJECTED));
        assertHardlyGrows((node, i) -> fail(node, "r" + i, AttemptResult.CONNECT_FAILED));
    }

    private static void fail(TestNode node, String id, AttemptResult result) {
        node.now += 500 * MS;
        for (SendAttempt send : TestNode.ofType(SendAttempt.class, node.arrive(id))) {
            node.endAttempt(id, 0, send.server(), result, MS);
        }
    }

    @Test
    void theEndOfAMeasurementWindow() {
        assertHardlyGrows(
                (node, i) -> {
                    node.serve("r" + i, MS);
                    node.after(5_000 * MS);
                });
    }

    /** Attempts without a response trigger the silence detector. */
    @Test
    void theDetectionOfSilentServers() {
        assertHardlyGrows(
                (node, i) -> {
                    node.arrive("r" + i);
                    node.after(300 * MS);
                    node.after(300 * MS);
                });
    }
}
