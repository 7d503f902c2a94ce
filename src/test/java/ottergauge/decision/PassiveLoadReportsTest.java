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

/** Loads that come with answers, where probes cost more than they are worth. */
class PassiveLoadReportsTest {
    private static final long MS = TestNode.MS;
    private static final long SERVICE = 100 * MS;

    /**
     * Sends to each server once; the answers come in the same order and say what each still holds.
     */
    private static TestNode told(int... left) {
        TestNode node = new TestNode(TestSettings.hearing(2).build());
        node.servers(left.length);
        List<SendAttempt> sends = new ArrayList<>();
        for (int i = 0; i < left.length; i++) {
            sends.add(TestNode.only(SendAttempt.class, node.arrive("t" + i)));
        }
        node.now += SERVICE;
        for (SendAttempt send : sends) {
            node.answered(send.id(), send.server(), SERVICE, left[(int) send.server() - 1]);
        }
        return node;
    }

    /**
     * By its own attempts a node of many knows nothing of a server: they queued behind others'
     * requests.
     */
    @Test
    void theServerThatWasLeftIdleIsNext() {
        for (int idle = 0; idle < 4; idle++) {
            int[] left = {2, 2, 2, 2};
            left[idle] = 0;
            assertEquals(
                    idle + 1, TestNode.only(SendAttempt.class, told(left).arrive("a")).server());
        }
    }

    @Test
    void itsOwnAttemptCountsAgainstTheServer() {
        TestNode node = told(0, 0, 2, 2);
        long first = TestNode.only(SendAttempt.class, node.arrive("a")).server();
        assertTrue(first <= 2, "sent to " + first);
        assertEquals(3 - first, TestNode.only(SendAttempt.class, node.arrive("b")).server());
    }

    /**
     * A report that counted for ever would keep a server that was busy once out of the rotation.
     */
    @Test
    void whatWasHeardLongAgoCountsNoMore() {
        TestNode node = told(2, 0, 0, 0);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 8; i++) {
            node.now += 200 * SERVICE;
            SendAttempt send = TestNode.only(SendAttempt.class, node.arrive("a" + i));
            used.add(send.server());
            node.now += SERVICE;
            node.answered("a" + i, send.server(), SERVICE, 0);
        }
        assertEquals(Set.of(1L, 2L, 3L, 4L), used);
    }

    /**
     * A part of a room under one is kept by pauses. One of fourteen nodes used a server once in the
     * time of seven answers, and refused a third of its requests next to idle servers.
     */
    @Test
    void serversThatReportRoomNeedNoRest() {
        TestNode node = new TestNode(TestSettings.hearing(14).build());
        node.servers(4);
        node.answered(
                "first",
                TestNode.only(SendAttempt.class, node.arrive("first")).server(),
                SERVICE,
                0);
        for (int round = 0; round < 10; round++) {
            List<SendAttempt> sends = new ArrayList<>();
            for (int i = 0; i < 4; i++) {
                sends.addAll(TestNode.those(SendAttempt.class, node.arrive(round + "-" + i)));
            }
            assertEquals(4, sends.size(), "round " + round);
            node.now += SERVICE;
            sends.forEach(send -> node.answered(send.id(), send.server(), SERVICE, 0));
        }
    }

    /**
     * With the whole fleet full, work is held; but one attempt is always out, or nothing would be
     * heard.
     */
    @Test
    void aFullFleetGetsNoMoreThanItTakesToHearOfIt() {
        TestNode node = told(9, 9, 9, 9);
        int sent = 0;
        for (int i = 0; i < 6; i++) {
            sent += TestNode.those(SendAttempt.class, node.arrive("a" + i)).size();
        }
        assertEquals(1, sent);
    }

    @Test
    void noProbeIsSpent() {
        TestNode node = told(0, 1, 2, 3);
        for (int i = 0; i < 20; i++) {
            node.arrive("a" + i);
            node.after(10 * MS);
        }
        assertTrue(TestNode.those(SendProbe.class, node.all).isEmpty());
    }

    /**
     * One that fails at once looks idle. With two errors in a row to learn it by, at a request a
     * second, each node sent it some before it was barred, and a bar of 0.1 s was over before the
     * next one came.
     */
    @Test
    void oneErrorKeepsAServerOutForItsTurn() {
        TestNode node = told(0, 0, 0, 0);
        serveFor(node, 12_000 * MS, 500 * MS);
        long failing = TestNode.only(SendAttempt.class, node.arrive("bad")).server();
        node.on(new AttemptEnded("bad", 0, failing, AttemptResult.ERROR, MS, true, TestNode.IDLE));
        List<Long> used = serveFor(node, 900 * MS, 30 * MS);
        assertFalse(used.contains(failing), "used " + used);
        assertTrue(serveFor(node, 10_000 * MS, 100 * MS).contains(failing), "and is used again");
    }

    /**
     * Guards against bars that feed on themselves: by the rate of what was served, a server was
     * barred for longer the more of its requests were refused, and in the end nearly all servers
     * were, for seconds.
     */
    @ParameterizedTest
    @ValueSource(ints = {8, 100})
    void aBarDoesNotGrowWithWhatIsRefused(int requests) {
        TestNode node = told(0, 0, 0, 0);
        // Ten requests a second, in the first window or for two: the clients of nearly all leave.
        for (int i = 0; i < requests; i++) {
            SendAttempt send = TestNode.only(SendAttempt.class, node.arrive("g" + i));
            if (i % 20 == 19) {
                node.answered("g" + i, send.server(), SERVICE, 0);
            } else {
                node.on(new ClientDisconnected("g" + i));
                node.ended("g" + i, 0, send.server(), AttemptResult.CANCELLED, MS);
            }
            node.now += 100 * MS;
        }
        SendAttempt last = TestNode.only(SendAttempt.class, node.arrive("last"));
        node.on(
                new AttemptEnded(
                        "last",
                        0,
                        last.server(),
                        AttemptResult.CONNECT_FAILED,
                        MS,
                        true,
                        TestNode.IDLE));
        long barred = node.now;
        // A server's turn comes each 0.4 s: a bar is 1.5 times that at the most.
        while (node.decide.endpointStatus(node.now, last.server()) == EndpointStatus.EJECTED) {
            node.now += 10 * MS;
        }
        assertTrue(node.now - barred <= 650 * MS, "barred for " + (node.now - barred) / MS + " ms");
    }

    @Test
    void theEmptyQueueOfAServerThatFailsIsNotBelieved() {
        TestNode node = told(2, 2, 2, 2);
        SendAttempt bad = TestNode.only(SendAttempt.class, node.arrive("bad"));
        node.on(
                new AttemptEnded(
                        "bad", 0, bad.server(), AttemptResult.ERROR, MS, true, TestNode.IDLE));
        node.now += 4_000 * MS / 10;
        assertNotEquals(
                bad.server(), TestNode.only(SendAttempt.class, node.arrive("next")).server());
    }

    private static List<Long> serveFor(TestNode node, long span, long gap) {
        List<Long> used = new ArrayList<>();
        for (long end = node.now + span; node.now < end; node.now += gap) {
            String id = "s" + node.now;
            SendAttempt send = TestNode.only(SendAttempt.class, node.arrive(id));
            used.add(send.server());
            node.now += MS;
            node.answered(id, send.server(), SERVICE, 0);
        }
        return used;
    }
}
