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
 * Tests the capacity estimate of servers whose requests mostly wait for other systems, and whose
 * load reports contain the request rate and the utilization.
 */
class CapacityFromReportsTest {

    private static final long MS = TestNode.MS;
    private static final long SERVICE = 500 * MS;
    private static final long WORK = 40 * MS;

    /**
     * Returns the report of a server that holds {@code held} requests and serves {@code perSecond}
     * with this fraction of its cores.
     */
    private static LoadReport report(double held, double perSecond, double busy, double latency) {
        return new LoadReport(held, Double.NaN, busy, latency, perSecond);
    }

    private static List<SendAttempt> burst(TestNode node, String prefix, int requests) {
        List<SendAttempt> sends = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            sends.addAll(TestNode.ofType(SendAttempt.class, node.arrive(prefix + i)));
        }
        return sends;
    }

    private static List<SendAttempt> respondWithLoad(
            TestNode node, List<SendAttempt> sends, LoadReport report) {
        List<SendAttempt> next = new ArrayList<>();
        for (SendAttempt send : sends) {
            next.addAll(
                    TestNode.ofType(
                            SendAttempt.class,
                            node.deliver(
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

    /**
     * Returns a node with a load report from each server that it holds this number of requests.
     * Each server has a capacity of 40 requests.
     */
    private static TestNode nodeWithReports(int nodes, int servers, double held) {
        TestNode node = new TestNode(TestSettings.withPassiveReports(nodes).build());
        node.servers(servers);
        List<SendAttempt> sends = burst(node, "t", 3 * servers);
        node.now += SERVICE;
        respondWithLoad(node, sends, report(held, 40, 0.5, WORK));
        return node;
    }

    /**
     * With an assumed capacity of one core per server, a server counted as full with two requests,
     * and nine in ten requests were rejected under low load.
     */
    @Test
    void theCapacityIsTheReportedRateTimesTheServiceTime() {
        assertEquals(15, burst(nodeWithReports(1, 1, 20), "q", 15).size());
    }

    @Test
    void theRequestsSentDoNotExceedTheCapacityByMuch() {
        int sent = burst(nodeWithReports(1, 1, 20), "q", 60).size();
        assertTrue(sent > 15 && sent <= 26, "20 of 40 are held, requests sent: " + sent);
    }

    /** If all cores are busy at a third of the rate, the server's capacity is a third as well. */
    @Test
    void aServerThatBecomesSlowHasLessCapacity() {
        TestNode node = nodeWithReports(1, 1, 20);
        List<SendAttempt> sends = burst(node, "q", 8);
        node.now += SERVICE;
        respondWithLoad(node, sends, report(20, 27, 1, 3 * WORK));
        assertTrue(burst(node, "r", 5).size() <= 1, "more than one request to get a load report");
    }

    /**
     * The latencies that the node measures hardly differ between servers if requests mostly wait
     * for other systems. The weights must therefore follow the latencies that the servers report.
     */
    @Test
    void reportedLatenciesDetermineTheWeights() {
        TestNode node = new TestNode(TestSettings.withPassiveReports(1).build());
        node.servers(2);
        Map<Long, Integer> requestsByServer = new HashMap<>();
        for (int i = 0; i < 300; i++) {
            List<SendAttempt> sends = burst(node, "q" + i + "-", 1);
            node.now += 50 * MS;
            for (SendAttempt send : sends) {
                respondWithLoad(
                        node,
                        sends,
                        report(2, 40, 0.1, (double) (send.server() == 1 ? WORK : 4 * WORK)));
                requestsByServer.merge(send.server(), node.now > 7_000 * MS ? 1 : 0, Integer::sum);
            }
        }
        double part =
                requestsByServer.get(1L)
                        / (double) (requestsByServer.get(1L) + requestsByServer.get(2L));
        assertTrue(
                part > 0.75 && part < 0.85,
                "a server four times as fast should get four of five requests, not " + part);
    }

    /**
     * An overloaded server sent no responses and so no load reports. Its load was estimated as the
     * mean of all servers, and it got as many requests as before.
     */
    @Test
    void aTimeoutShowsThatTheServerIsFull() {
        TestNode node = nodeWithReports(1, 2, 5);
        // One request for each server. Two attempts without a response would trigger the silence
        // detector, which is not tested here.
        List<SendAttempt> sends = burst(node, "q", 2);
        node.now += SERVICE;
        respondWithLoad(
                node,
                sends.stream().filter(send -> send.server() == 2).toList(),
                report(5, 40, 0.5, WORK));
        node.now += SERVICE;
        sends.stream()
                .filter(send -> send.server() == 1)
                .forEach(
                        send ->
                                node.deliver(
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
     * Each of twenty nodes filled the free capacity of the only server that had some, and together
     * they overloaded it.
     */
    @Test
    void manyNodesTogetherDoNotOverloadTheOnlyServerWithFreeCapacity() {
        int sent = 0;
        for (int i = 0; i < 20; i++) {
            sent += burst(nodeWithReports(20, 1, 35), "q", 12).size();
        }
        assertTrue(
                sent >= 20 && sent <= 60,
                "the server has capacity for five more requests, twenty nodes sent " + sent);
    }

    /**
     * A full server rejects requests immediately. Without any outstanding attempts the node sent
     * the next attempt at the same instant.
     */
    @Test
    void aFullFleetGetsAtMostOneTrialPerServiceTime() {
        TestNode node = nodeWithReports(1, 6, 60);
        Map<String, Integer> attempts = new HashMap<>();
        int sent = 0;
        List<SendAttempt> sends = burst(node, "q", 5);
        for (long at = 0; at < 2 * SERVICE; at += 10 * MS) {
            sent += sends.size();
            List<SendAttempt> next = new ArrayList<>();
            for (SendAttempt send : sends) {
                next.addAll(
                        TestNode.ofType(
                                SendAttempt.class,
                                node.deliver(
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
            next.addAll(TestNode.ofType(SendAttempt.class, node.after(0)));
            sends = next;
        }
        assertTrue(sent <= 3, "sent " + sent + " requests to a full fleet");
    }

    /**
     * Guards against a subset that is too large. With dozens of outstanding attempts per server, a
     * node spread them over the fleet and got load reports of each server too seldom.
     */
    @Test
    void manyAttemptsAtServersOfLargeCapacityDoNotEnlargeTheSubset() {
        TestNode node = nodeWithReports(60, 30, 2);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 10; i++) {
            List<SendAttempt> sends = burst(node, i + "-", 40);
            if (i >= 4) {
                // A measurement window has ended.
                sends.forEach(send -> used.add(send.server()));
            }
            node.now += SERVICE;
            respondWithLoad(node, sends, report(2, 40, 0.5, WORK));
        }
        assertTrue(
                used.size() <= 14, "expected about twelve of thirty servers, used " + used.size());
    }
}
