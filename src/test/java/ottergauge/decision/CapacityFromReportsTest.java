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
import ottergauge.decision.api.DecisionAction.SendAttempt;
import ottergauge.decision.api.DecisionEvent.AttemptEnded;
import ottergauge.decision.api.LoadReport;

/**
 * Servers whose requests mostly wait on others, and that answer with their rate and their busy
 * part.
 */
class CapacityFromReportsTest {

    private static final long MS = TestNode.MS;
    private static final long SERVICE = 500 * MS;
    private static final long WORK = 40 * MS;

    /**
     * A server that holds {@code held} and serves {@code perSecond} with this part of its cores.
     */
    private static LoadReport report(double held, double perSecond, double busy, double latency) {
        return new LoadReport(held, Double.NaN, busy, latency, perSecond);
    }

    private static List<SendAttempt> burst(TestNode node, String prefix, int requests) {
        List<SendAttempt> sends = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            sends.addAll(TestNode.those(SendAttempt.class, node.arrive(prefix + i)));
        }
        return sends;
    }

    private static List<SendAttempt> answered(
            TestNode node, List<SendAttempt> sends, LoadReport report) {
        List<SendAttempt> next = new ArrayList<>();
        for (SendAttempt send : sends) {
            next.addAll(
                    TestNode.those(
                            SendAttempt.class,
                            node.on(
                                    new AttemptEnded(
                                            send.id(),
                                            0,
                                            send.server(),
                                            AttemptResult.SERVED,
                                            SERVICE,
                                            true,
                                            report))));
        }
        return next;
    }

    /** A node that has heard from each server that it holds so many; each has a room of 40. */
    private static TestNode told(int nodes, int servers, double held) {
        TestNode node = new TestNode(TestSettings.hearing(nodes).build());
        node.servers(servers);
        List<SendAttempt> sends = burst(node, "t", 3 * servers);
        node.now += SERVICE;
        answered(node, sends, report(held, 40, 0.5, WORK));
        return node;
    }

    /**
     * Taken for a core each, a server was full with two requests, and a quiet day refused nine in
     * ten.
     */
    @Test
    void aServerHoldsWhatPassesThroughItInTheTimeOfARequest() {
        assertEquals(15, burst(told(1, 1, 20), "q", 15).size());
    }

    @Test
    void noMoreIsSentThanTheRoomAndALittle() {
        int sent = burst(told(1, 1, 20), "q", 60).size();
        assertTrue(sent > 15 && sent <= 26, "20 of 40 are held, and sent are " + sent);
    }

    /** All cores busy at a third of the rate: a server that has become slow holds a third. */
    @Test
    void aServerThatBecomesSlowHoldsLess() {
        TestNode node = told(1, 1, 20);
        List<SendAttempt> sends = burst(node, "q", 8);
        node.now += SERVICE;
        answered(node, sends, report(20, 27, 1, 3 * WORK));
        assertTrue(burst(node, "r", 5).size() <= 1, "and one to hear of it");
    }

    /**
     * Weights by the node's own timings were level where most of a time is spent waiting on others.
     */
    @Test
    void reportedTimesDecideTheWeights() {
        TestNode node = new TestNode(TestSettings.hearing(1).build());
        node.servers(2);
        Map<Long, Integer> turns = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            List<SendAttempt> sends = burst(node, "q" + i + "-", 1);
            node.now += 50 * MS;
            for (SendAttempt send : sends) {
                answered(
                        node,
                        sends,
                        report(2, 40, 0.1, (double) (send.server() == 1 ? WORK : 4 * WORK)));
                turns.merge(send.server(), node.now > 7_000 * MS ? 1 : 0, Integer::sum);
            }
        }
        double part = turns.get(1L) / (double) (turns.get(1L) + turns.get(2L));
        assertTrue(
                part > 0.75 && part < 0.85,
                "four times as fast has four of five turns, not " + part);
    }

    /**
     * No answer came from an overrun server, so it stood at the mean of all and drew as many as
     * before.
     */
    @Test
    void whatRunsOutOfTimeTellsThatItsServerIsFull() {
        TestNode node = told(1, 2, 5);
        // One each: two that are out for long would show that it is silent, which is another
        // guard's.
        List<SendAttempt> sends = burst(node, "q", 2);
        node.now += SERVICE;
        answered(
                node,
                sends.stream().filter(send -> send.server() == 2).toList(),
                report(5, 40, 0.5, WORK));
        node.now += SERVICE;
        sends.stream()
                .filter(send -> send.server() == 1)
                .forEach(
                        send ->
                                node.on(
                                        new AttemptEnded(
                                                send.id(),
                                                0,
                                                1,
                                                AttemptResult.TIMED_OUT,
                                                2 * SERVICE,
                                                true,
                                                LoadReport.NONE)));
        Set<Long> used = new HashSet<>();
        burst(node, "r", 8).forEach(send -> used.add(send.server()));
        assertEquals(Set.of(2L), used);
    }

    /**
     * Each of twenty filled the free part of the one server that had some, and together they
     * overran it.
     */
    @Test
    void manyNodesTogetherDoNotOverrunTheOneServerThatHasRoom() {
        int sent = 0;
        for (int i = 0; i < 20; i++) {
            sent += burst(told(20, 1, 35), "q", 12).size();
        }
        assertTrue(sent >= 20 && sent <= 60, "five are free, and twenty nodes send " + sent);
    }

    /**
     * A full server turns requests away at once: with nothing out the next trial followed in the
     * instant.
     */
    @Test
    void aFullFleetIsTriedOnceInTheTimeOfARequest() {
        TestNode node = told(1, 6, 60);
        Map<String, Integer> attempts = new HashMap<>();
        int sent = 0;
        List<SendAttempt> sends = burst(node, "q", 5);
        for (long at = 0; at < 2 * SERVICE; at += 10 * MS) {
            sent += sends.size();
            List<SendAttempt> next = new ArrayList<>();
            for (SendAttempt send : sends) {
                next.addAll(
                        TestNode.those(
                                SendAttempt.class,
                                node.on(
                                        new AttemptEnded(
                                                send.id(),
                                                attempts.merge(send.id(), 1, Integer::sum) - 1,
                                                send.server(),
                                                AttemptResult.REJECTED,
                                                MS,
                                                false,
                                                LoadReport.NONE))));
            }
            node.now += 10 * MS;
            next.addAll(TestNode.those(SendAttempt.class, node.after(0)));
            sends = next;
        }
        assertTrue(sent <= 3, "sent " + sent + " to a fleet that is full");
    }

    /**
     * With dozens out for each server a node spread them over the fleet, and heard of each too
     * seldom.
     */
    @Test
    void manyOutAtRoomyServersNeedNoMoreServers() {
        TestNode node = told(60, 30, 2);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 10; i++) {
            List<SendAttempt> sends = burst(node, i + "-", 40);
            if (i >= 4) {
                // By now a window has ended.
                sends.forEach(send -> used.add(send.server()));
            }
            node.now += SERVICE;
            answered(node, sends, report(2, 40, 0.5, WORK));
        }
        assertTrue(used.size() <= 14, "a dozen of thirty servers, used " + used.size());
    }
}
