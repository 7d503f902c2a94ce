// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionAction;
import ottergauge.decision.api.DecisionAction.SendAttempt;
import ottergauge.decision.api.DecisionEvent.ClientDisconnected;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.EndpointStatus;

/**
 * Errors bar a server only while the barred ones of the list are under half of the node's servers.
 */
class EjectedServersTest {

    private static final long MS = TestNode.MS;
    private static final int SERVERS = 8;
    private static final int HALF = SERVERS / 2;

    private final TestNode node = new TestNode(new TestSettings().build());
    private int lastRequest;

    EjectedServersTest() {
        node.servers(SERVERS);
    }

    /** All that is sent for so many requests fails. */
    private void fail(int requests) {
        for (int i = 0; i < requests; i++) {
            String id = "r" + ++lastRequest;
            List<DecisionAction> actions = node.arrive(id);
            for (int attempt = 0;
                    !TestNode.those(SendAttempt.class, actions).isEmpty();
                    attempt++) {
                long server = TestNode.only(SendAttempt.class, actions).server();
                node.now += MS;
                actions = node.ended(id, attempt, server, AttemptResult.ERROR, MS);
            }
        }
    }

    private List<Long> barred() {
        return LongStream.rangeClosed(1, SERVERS)
                .boxed()
                .filter(id -> node.decide.endpointStatus(node.now, id) == EndpointStatus.EJECTED)
                .toList();
    }

    @Test
    void noMoreThanHalfOfThemAreBarredForErrors() {
        fail(20);
        assertEquals(HALF, barred().size());
        fail(20);
        assertEquals(HALF, barred().size());
    }

    @Test
    void aServerWhoseBarIsOverCountsNoMore() {
        fail(20);
        node.now += 10_000 * MS;
        assertEquals(0, barred().size());
        fail(20);
        assertEquals(HALF, barred().size());
    }

    @Test
    void aBarredServerThatLeavesTheListCountsNoMore() {
        fail(20);
        barred().forEach(id -> node.change(id, EndpointState.REMOVED, 0));
        assertEquals(0, barred().size());
        fail(20);
        assertEquals(HALF / 2, barred().size(), "of those that are left");
    }

    /** What was out at a server when it left may fail after that. */
    @Test
    void aServerThatFailsAfterItHasLeftDoesNotCount() {
        for (int i = 0; i < HALF; i++) {
            SendAttempt send = TestNode.only(SendAttempt.class, node.arrive("left-" + i));
            node.change(send.server(), EndpointState.REMOVED, 0);
            node.now += MS;
            node.ended(send.id(), 0, send.server(), AttemptResult.CONNECT_FAILED, MS);
            node.on(new ClientDisconnected(send.id()));
        }
        fail(20);
        assertEquals(HALF / 2, barred().size(), "of those that are left");
    }

    /** Its bar ends with its restart: the next one may be barred for that. */
    @Test
    void aBarredServerThatRestartsCountsNoMore() {
        fail(20);
        barred().stream().skip(1).forEach(id -> node.change(id, EndpointState.UP, node.now));
        assertEquals(1, barred().size());
        fail(20);
        assertEquals(HALF, barred().size());
    }
}
