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
 * Errors eject a server only while fewer than half of the node's servers are ejected. Only listed
 * servers count.
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

    /** Sends requests whose attempts all fail with an error. */
    private void fail(int requests) {
        for (int i = 0; i < requests; i++) {
            String id = "r" + ++lastRequest;
            List<DecisionAction> actions = node.arrive(id);
            for (int attempt = 0;
                    !TestNode.ofType(SendAttempt.class, actions).isEmpty();
                    attempt++) {
                long server = TestNode.onlyOfType(SendAttempt.class, actions).server();
                node.now += MS;
                actions = node.endAttempt(id, attempt, server, AttemptResult.ERROR, MS);
            }
        }
    }

    private List<Long> ejected() {
        return LongStream.rangeClosed(1, SERVERS)
                .boxed()
                .filter(id -> node.engine.endpointStatus(node.now, id) == EndpointStatus.EJECTED)
                .toList();
    }

    @Test
    void errorsEjectAtMostHalfOfTheServers() {
        fail(20);
        assertEquals(HALF, ejected().size());
        fail(20);
        assertEquals(HALF, ejected().size());
    }

    @Test
    void aServerWhoseEjectionHasEndedIsNotCounted() {
        fail(20);
        node.now += 10_000 * MS;
        assertEquals(0, ejected().size());
        fail(20);
        assertEquals(HALF, ejected().size());
    }

    @Test
    void anEjectedServerThatIsRemovedFromTheListIsNotCounted() {
        fail(20);
        ejected().forEach(id -> node.updateServer(id, EndpointState.REMOVED, 0));
        assertEquals(0, ejected().size());
        fail(20);
        assertEquals(HALF / 2, ejected().size(), "of those that are left");
    }

    /** An attempt that was outstanding when its server was removed may fail afterwards. */
    @Test
    void aServerThatFailsAfterItsRemovalIsNotCounted() {
        for (int i = 0; i < HALF; i++) {
            SendAttempt send = TestNode.onlyOfType(SendAttempt.class, node.arrive("left-" + i));
            node.updateServer(send.server(), EndpointState.REMOVED, 0);
            node.now += MS;
            node.endAttempt(send.id(), 0, send.server(), AttemptResult.CONNECT_FAILED, MS);
            node.deliver(new ClientDisconnected(send.id()));
        }
        fail(20);
        assertEquals(HALF / 2, ejected().size(), "of those that are left");
    }

    /** A restart ends the ejection, so that another server may be ejected. */
    @Test
    void anEjectedServerThatRestartsIsNotCounted() {
        fail(20);
        ejected().stream().skip(1).forEach(id -> node.updateServer(id, EndpointState.UP, node.now));
        assertEquals(1, ejected().size());
        fail(20);
        assertEquals(HALF, ejected().size());
    }
}
