// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionAction;
import ottergauge.decision.api.DecisionAction.SendAttempt;
import ottergauge.decision.api.DecisionAction.SendProbe;
import ottergauge.decision.api.DecisionEvent.ProbeEnded;
import ottergauge.decision.api.LoadReport;

/**
 * Tests how the overload limits change the decisions. Each test fails if the limit that it covers
 * is removed.
 */
class OverloadTest {

    private static final long MS = TestNode.MS;

    private static TestNode nodeWithoutLoadInformation(int servers) {
        TestNode node = new TestNode(new TestSettings().build());
        node.servers(servers);
        for (int i = 0; i < 40; i++) {
            node.serve("warm" + i, 50 * MS);
        }
        return node;
    }

    /**
     * Guards against retries that sustain an overload. Without a retry budget, with five attempts
     * per request, servers rejected 91% of all attempts.
     */
    @Test
    void whenAllAttemptsAreRejectedRetriesAreAFractionOfFirstAttempts() {
        TestNode node = nodeWithoutLoadInformation(12);
        int requests = 400;
        int sends = 0;
        Deque<SendAttempt> out = new ArrayDeque<>();
        for (int i = 0; i < requests; i++) {
            // Long enough for ejections and concurrency limits to permit another attempt.
            node.now += 400 * MS;
            out.addAll(TestNode.ofType(SendAttempt.class, node.arrive("r" + i)));
            while (!out.isEmpty()) {
                SendAttempt send = out.poll();
                sends++;
                int attempt =
                        (int)
                                        node.allActions.stream()
                                                .filter(
                                                        a ->
                                                                a instanceof SendAttempt s
                                                                        && s.id().equals(send.id()))
                                                .count()
                                - 1;
                out.addAll(
                        TestNode.ofType(
                                SendAttempt.class,
                                node.endAttempt(
                                        send.id(),
                                        attempt,
                                        send.server(),
                                        AttemptResult.REJECTED,
                                        MS)));
            }
        }
        assertTrue(sends <= 1.1 * requests + 11, sends + " attempts for " + requests + " requests");
    }

    /**
     * Guards against servers that are kept full. Requests that wait at a server are late, and no
     * other request can overtake them.
     */
    @Test
    void aRejectionDecreasesTheConcurrencyLimitOfTheServer() {
        TestNode node = nodeWithoutLoadInformation(1);
        List<SendAttempt> sends = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            sends.addAll(TestNode.ofType(SendAttempt.class, node.arrive("a" + i)));
        }
        assertEquals(8, sends.size());
        node.endAttempt("a7", 0, sends.get(7).server(), AttemptResult.REJECTED, MS);
        node.now += 28 * MS;
        List<DecisionAction> more = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            more.addAll(node.arrive("b" + i));
        }
        assertEquals(
                List.of(),
                TestNode.ofType(SendAttempt.class, more),
                "seven are outstanding, and the limit is 0.7 of eight");
        for (int i = 0; i < 4; i++) {
            more.addAll(
                    node.endAttempt(
                            "a" + i, 0, sends.get(i).server(), AttemptResult.SERVED, 28 * MS));
        }
        assertEquals(
                4,
                TestNode.ofType(SendAttempt.class, more).size(),
                "up to the limit and its increases");
    }

    /**
     * Guards against load reports that servers update only once in several service times. All nodes
     * sent their requests to the same server.
     */
    @Test
    void staleLoadReportsStopTheProbes() {
        TestSettings settings = new TestSettings();
        settings.probes = true;
        TestNode node = new TestNode(settings.build());
        node.servers(2);
        LoadReport old = new LoadReport(3, Double.NaN, 0.5, Double.NaN, 17.25);
        int probes = 0;
        Deque<SendAttempt> out = new ArrayDeque<>();
        Deque<DecisionAction> actions = new ArrayDeque<>();
        for (int i = 0; i < 300; i++) {
            actions.addAll(node.arrive("r" + i));
            actions.addAll(node.after(20 * MS));
            // Each request takes ten iterations.
            if (i >= 10 && !out.isEmpty()) {
                SendAttempt send = out.poll();
                actions.addAll(
                        node.endAttempt(
                                send.id(), 0, send.server(), AttemptResult.SERVED, 200 * MS));
            }
            while (!actions.isEmpty()) {
                DecisionAction action = actions.poll();
                if (action instanceof SendProbe probe) {
                    probes += i >= 280 ? 1 : 0;
                    actions.addAll(
                            node.deliver(
                                    new ProbeEnded(probe.server(), AttemptResult.SERVED, MS, old)));
                } else if (action instanceof SendAttempt send) {
                    out.add(send);
                }
            }
        }
        assertEquals(0, probes, "probes for the last 20 requests");
    }
}
