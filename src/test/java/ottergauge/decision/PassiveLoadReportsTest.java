// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionAction.SendAttempt;
import ottergauge.decision.api.DecisionAction.SendProbe;
import ottergauge.decision.api.DecisionEvent.AttemptEnded;
import ottergauge.decision.api.DecisionEvent.ClientDisconnected;
import ottergauge.decision.api.EndpointStatus;

/** Tests load reports that come with responses, with load probes too expensive to be used. */
class PassiveLoadReportsTest {
    private static final long MS = TestNode.MS;
    private static final long SERVICE = 100 * MS;

    /**
     * Returns a node that has sent one request to each server. The responses came in the same
     * order, and each reported how many other requests its server still holds.
     */
    private static TestNode nodeWithReports(int... left) {
        TestNode node = new TestNode(TestSettings.withPassiveReports(2).build());
        node.servers(left.length);
        List<SendAttempt> sends = new ArrayList<>();
        for (int i = 0; i < left.length; i++) {
            sends.add(TestNode.onlyOfType(SendAttempt.class, node.arrive("t" + i)));
        }
        node.now += SERVICE;
        for (SendAttempt send : sends) {
            node.respondWithLoad(send.id(), send.server(), SERVICE, left[(int) send.server() - 1]);
        }
        return node;
    }

    /**
     * A node's own attempts say little about a server that many other nodes use too. Requests
     * queued behind those of other nodes.
     */
    @Test
    void theServerThatWasReportedIdleIsSelectedNext() {
        for (int idle = 0; idle < 4; idle++) {
            int[] left = {2, 2, 2, 2};
            left[idle] = 0;
            assertEquals(
                    idle + 1,
                    TestNode.onlyOfType(SendAttempt.class, nodeWithReports(left).arrive("a"))
                            .server());
        }
    }

    @Test
    void theNodesOwnAttemptIsAddedToTheReportedLoad() {
        TestNode node = nodeWithReports(0, 0, 2, 2);
        long first = TestNode.onlyOfType(SendAttempt.class, node.arrive("a")).server();
        assertTrue(first <= 2, "sent to " + first);
        assertEquals(3 - first, TestNode.onlyOfType(SendAttempt.class, node.arrive("b")).server());
    }

    /** If reports counted forever, a server that was busy once would never be selected again. */
    @Test
    void oldReportsNoLongerCount() {
        TestNode node = nodeWithReports(2, 0, 0, 0);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 8; i++) {
            node.now += 200 * SERVICE;
            SendAttempt send = TestNode.onlyOfType(SendAttempt.class, node.arrive("a" + i));
            used.add(send.server());
            node.now += SERVICE;
            node.respondWithLoad("a" + i, send.server(), SERVICE, 0);
        }
        assertEquals(Set.of(1L, 2L, 3L, 4L), used);
    }

    /**
     * A node whose share of a server's capacity is under one request pauses between attempts. One
     * of fourteen nodes used a server once per seven service times, and rejected a third of its
     * requests although servers were idle.
     */
    @Test
    void serversWithReportedFreeCapacityAreUsedWithoutPauses() {
        TestNode node = new TestNode(TestSettings.withPassiveReports(14).build());
        node.servers(4);
        node.respondWithLoad(
                "first",
                TestNode.onlyOfType(SendAttempt.class, node.arrive("first")).server(),
                SERVICE,
                0);
        for (int round = 0; round < 10; round++) {
            List<SendAttempt> sends = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                sends.addAll(TestNode.ofType(SendAttempt.class, node.arrive(round + "-" + i)));
            }
            assertEquals(4, sends.size(), "round " + round);
            node.now += SERVICE;
            sends.forEach(send -> node.respondWithLoad(send.id(), send.server(), SERVICE, 0));
        }
    }

    /**
     * If the entire fleet is full, requests stay in the pending queue. One attempt is always
     * outstanding, because load reports come only with responses.
     */
    @Test
    void aFullFleetGetsOnlyOneAttemptForALoadReport() {
        TestNode node = nodeWithReports(9, 9, 9, 9);
        int sent = 0;
        for (int i = 0; i < 6; i++) {
            sent += TestNode.ofType(SendAttempt.class, node.arrive("a" + i)).size();
        }
        assertEquals(1, sent);
    }

    @Test
    void noProbesAreSent() {
        TestNode node = nodeWithReports(0, 1, 2, 3);
        for (int i = 0; i < 20; i++) {
            node.arrive("a" + i);
            node.after(10 * MS);
        }
        assertTrue(TestNode.ofType(SendProbe.class, node.allActions).isEmpty());
    }

    /**
     * A server that fails requests immediately looks idle. When two consecutive errors were needed
     * for an ejection, each node with one request per second sent it several requests before it was
     * ejected, and an ejection of 0.1 s was over before the next request arrived.
     */
    @Test
    void oneErrorEjectsAServerForAtLeastOneRound() {
        TestNode node = nodeWithReports(0, 0, 0, 0);
        serveFor(node, 12_000 * MS, 500 * MS);
        long failing = TestNode.onlyOfType(SendAttempt.class, node.arrive("bad")).server();
        node.deliver(
                new AttemptEnded("bad", 0, failing, AttemptResult.ERROR, MS, true, TestNode.IDLE));
        List<Long> used = serveFor(node, 900 * MS, 30 * MS);
        assertFalse(used.contains(failing), "used " + used);
        assertTrue(
                serveFor(node, 10_000 * MS, 100 * MS).contains(failing),
                "the failing server is not used again");
    }

    /**
     * Guards against ejections that lengthen themselves. When the length of an ejection was
     * computed from the rate of served requests, it grew with the number of rejected ones, and in
     * the end nearly all servers were ejected for seconds.
     */
    @ParameterizedTest
    @ValueSource(ints = {8, 100})
    void theLengthOfAnEjectionDoesNotGrowWithRejectedRequests(int requests) {
        TestNode node = nodeWithReports(0, 0, 0, 0);
        // Ten requests per second, within the first measurement window or for two of them. The
        // clients of almost all requests disconnect.
        for (int i = 0; i < requests; i++) {
            SendAttempt send = TestNode.onlyOfType(SendAttempt.class, node.arrive("g" + i));
            if (i % 20 == 19) {
                node.respondWithLoad("g" + i, send.server(), SERVICE, 0);
            } else {
                node.deliver(new ClientDisconnected("g" + i));
                node.endAttempt("g" + i, 0, send.server(), AttemptResult.CANCELLED, MS);
            }
            node.now += 100 * MS;
        }
        SendAttempt last = TestNode.onlyOfType(SendAttempt.class, node.arrive("last"));
        node.deliver(
                new AttemptEnded(
                        "last",
                        0,
                        last.server(),
                        AttemptResult.CONNECT_FAILED,
                        MS,
                        true,
                        TestNode.IDLE));
        long ejectedAt = node.now;
        // Each server is selected every 0.4 s. An ejection lasts at most 1.5 times that.
        while (node.engine.endpointStatus(node.now, last.server()) == EndpointStatus.EJECTED) {
            node.now += 10 * MS;
        }
        assertTrue(
                node.now - ejectedAt <= 650 * MS,
                "ejected for " + (node.now - ejectedAt) / MS + " ms");
    }

    @Test
    void theEmptyQueueInAnErrorResponseIsIgnored() {
        TestNode node = nodeWithReports(2, 2, 2, 2);
        SendAttempt bad = TestNode.onlyOfType(SendAttempt.class, node.arrive("bad"));
        node.deliver(
                new AttemptEnded(
                        "bad", 0, bad.server(), AttemptResult.ERROR, MS, true, TestNode.IDLE));
        node.now += 4_000 * MS / 10;
        assertNotEquals(
                bad.server(), TestNode.onlyOfType(SendAttempt.class, node.arrive("next")).server());
    }

    private static List<Long> serveFor(TestNode node, long span, long gap) {
        List<Long> used = new ArrayList<>();
        for (long end = node.now + span; node.now < end; node.now += gap) {
            String id = "s" + node.now;
            SendAttempt send = TestNode.onlyOfType(SendAttempt.class, node.arrive(id));
            used.add(send.server());
            node.now += MS;
            node.respondWithLoad(id, send.server(), SERVICE, 0);
        }
        return used;
    }
}
