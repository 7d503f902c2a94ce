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
 * What happens once costs by what happened and not by the list: the number of servers looked at, as
 * a count. Eight times as many servers are three more halvings of them.
 */
class EndpointListCostTest {

    private static final long MS = TestNode.MS;
    private static final int SMALL = 1_000;
    private static final int LARGE = 8_000;
    private static final int TIMES = 100;
    // So few that the subset is as large as it gets, whatever the list.
    private static final int NODES = 50;
    // The logarithm of 8,000 is 1.3 times that of 1,000; the rest is how the trees happen to lie.
    private static final double MOST_GROWTH = 1.6;

    private static TestNode node(int servers) {
        TestSettings settings = new TestSettings();
        settings.nodes = NODES;
        settings.node = 17;
        TestNode node = new TestNode(settings.build());
        node.servers(servers);
        return node;
    }

    /** The mean number of servers looked at by what is done at a node that has so many. */
    private static double visits(int servers, ObjIntConsumer<TestNode> done) {
        TestNode node = node(servers);
        long before = node.decide.serverVisits();
        for (int i = 0; i < TIMES; i++) {
            done.accept(node, i);
        }
        return (node.decide.serverVisits() - before) / (double) TIMES;
    }

    private static void hardlyGrows(ObjIntConsumer<TestNode> done) {
        double small = visits(SMALL, done);
        double large = visits(LARGE, done);
        assertTrue(
                large <= MOST_GROWTH * small + 1,
                "looked at " + small + " of " + SMALL + ", at " + large + " of " + LARGE);
    }

    /**
     * Guards against counts that miss what a list is held in: a whole list does look at all of
     * them.
     */
    @Test
    void theCountSeesAWalkOverAllServers() {
        TestNode node = node(LARGE);
        long before = node.decide.serverVisits();
        node.servers(LARGE);
        assertTrue(node.decide.serverVisits() - before >= LARGE, "not counted");
    }

    @Test
    void oneChangeOfTheList() {
        hardlyGrows((node, i) -> node.change(1 + 7 * i, EndpointState.DRAINING, 0));
        hardlyGrows((node, i) -> node.change(1 + 7 * i, EndpointState.REMOVED, 0));
        hardlyGrows((node, i) -> node.change(1 + 7 * i, EndpointState.UP, node.now));
        hardlyGrows((node, i) -> node.change(100_000 + i, EndpointState.UP, node.now));
    }

    /** A lost zone: what it costs goes by how many are named, wherever the others are. */
    @Test
    void aChangeOfManyServersAtOnce() {
        hardlyGrows(
                (node, i) -> {
                    List<Endpoint> lost = new ArrayList<>();
                    for (int k = 0; k < 5; k++) {
                        lost.add(TestNode.server(1 + 5 * i + k, EndpointState.REMOVED, 0));
                    }
                    node.on(new EndpointUpdate(UpdateScope.INCREMENTAL, lost));
                });
    }

    @Test
    void aRequestItsAnswerAndItsFailures() {
        hardlyGrows((node, i) -> node.serve("r" + i, MS));
        hardlyGrows((node, i) -> fail(node, "r" + i, AttemptResult.ERROR));
        hardlyGrows((node, i) -> fail(node, "r" + i, AttemptResult.REJECTED));
        hardlyGrows((node, i) -> fail(node, "r" + i, AttemptResult.CONNECT_FAILED));
    }

    private static void fail(TestNode node, String id, AttemptResult result) {
        node.now += 500 * MS;
        for (SendAttempt send : TestNode.those(SendAttempt.class, node.arrive(id))) {
            node.ended(id, 0, send.server(), result, MS);
        }
    }

    @Test
    void theEndOfAWindow() {
        hardlyGrows(
                (node, i) -> {
                    node.serve("r" + i, MS);
                    node.after(5_000 * MS);
                });
    }

    /** Attempts that stay unanswered make the node look for silent servers. */
    @Test
    void silence() {
        hardlyGrows(
                (node, i) -> {
                    node.arrive("r" + i);
                    node.after(300 * MS);
                    node.after(300 * MS);
                });
    }
}
