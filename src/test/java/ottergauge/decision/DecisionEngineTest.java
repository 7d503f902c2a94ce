// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionAction;
import ottergauge.decision.api.DecisionAction.CancelAttempt;
import ottergauge.decision.api.DecisionAction.FailRequest;
import ottergauge.decision.api.DecisionAction.RejectRequest;
import ottergauge.decision.api.DecisionAction.SendAttempt;
import ottergauge.decision.api.DecisionAction.SendProbe;
import ottergauge.decision.api.DecisionAction.SetTimer;
import ottergauge.decision.api.DecisionAction.WatchEndpoints;
import ottergauge.decision.api.DecisionEvent.AttemptEnded;
import ottergauge.decision.api.DecisionEvent.ClientDisconnected;
import ottergauge.decision.api.DecisionEvent.DiscoveryFailed;
import ottergauge.decision.api.DecisionEvent.ProbeEnded;
import ottergauge.decision.api.DeduplicationScope;
import ottergauge.decision.api.DiscoveryMode;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.Idempotency;
import ottergauge.decision.api.LoadReport;
import ottergauge.decision.api.RequestClass;

/**
 * Tests the decision engine by examples: one for each deviation from the basic algorithm and one
 * for each fault that was found.
 */
class DecisionEngineTest {
    private static final long MS = TestNode.MS;

    /**
     * Serves requests one by one until the capacity estimates and the mean service times hardly
     * change any more.
     */
    private static TestNode warm(TestSettings settings, int servers, int requests, long elapsed) {
        TestNode node = new TestNode(settings.build());
        node.servers(servers);
        for (int i = 0; i < requests; i++) {
            if (settings.probes) {
                serveWithProbe(node, "w" + i, elapsed);
            } else {
                node.serve("w" + i, elapsed);
            }
        }
        return node;
    }

    private static long serveWithProbe(TestNode node, String id, long elapsed) {
        List<DecisionAction> actions = node.arrive(id);
        while (TestNode.ofType(SendAttempt.class, actions).isEmpty()) {
            actions = node.probed(TestNode.onlyOfType(SendProbe.class, actions).server(), 0);
        }
        SendAttempt send = TestNode.onlyOfType(SendAttempt.class, actions);
        node.now += elapsed;
        node.deliver(
                new AttemptEnded(
                        id,
                        0,
                        send.server(),
                        AttemptResult.SERVED,
                        elapsed,
                        true,
                        new LoadReport(1, 0, 0.5, Double.NaN, Double.NaN)));
        return send.server();
    }

    private static List<SendAttempt> burst(TestNode node, String prefix, int requests) {
        List<SendAttempt> sends = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            sends.addAll(TestNode.ofType(SendAttempt.class, node.arrive(prefix + i)));
        }
        return sends;
    }

    private static TestSettings withProbes() {
        TestSettings settings = new TestSettings();
        settings.probes = true;
        return settings;
    }

    // ---- Deadlines and client retries
    // ----------------------------------------------------------------------------------

    @Test
    void aClassIsNotRejectedForeverAfterASeriesOfTimeouts() {
        TestNode node = warm(new TestSettings(), 2, 20, 50 * MS);
        for (int i = 0; i < 60; i++) {
            List<SendAttempt> sends = TestNode.ofType(SendAttempt.class, node.arrive("t" + i));
            node.now += 998 * MS;
            for (SendAttempt s : sends) {
                node.endAttempt(s.id(), 0, s.server(), AttemptResult.TIMED_OUT, 998 * MS);
            }
            node.after(4_000 * MS);
        }
        List<DecisionAction> actions = node.arrive("fresh");
        assertEquals(
                0, TestNode.ofType(RejectRequest.class, actions).size(), "rejected on arrival");
    }

    @Test
    void aRequestThatCannotMeetItsDeadlineIsRejectedAtOnce() {
        TestNode node = warm(withProbes(), 1, 30, 200 * MS);
        node.now += 1_000 * MS;
        long start = node.now;
        List<DecisionAction> actions = node.arrive("a");
        while (TestNode.ofType(RejectRequest.class, actions).isEmpty()
                && node.now < start + 2_000 * MS) {
            node.now += MS;
            actions =
                    TestNode.ofType(SendProbe.class, actions).isEmpty()
                            ? node.after(0)
                            : node.probed(1, 5);
        }
        assertTrue(node.now < start + 998 * MS, "rejected after " + (node.now - start));
        assertTrue(node.now > start + 500 * MS, "rejected after " + (node.now - start));
    }

    @Test
    void aRequestBehindALongQueueIsRejectedOnArrival() {
        TestNode node = new TestNode(TestSettings.withPassiveReports(1).build());
        node.servers(1);
        List<SendAttempt> out =
                new ArrayList<>(TestNode.ofType(SendAttempt.class, node.arrive("w")));
        for (int i = 0; i < 40; i++) {
            SendAttempt next = out.remove(0);
            node.now += 100 * MS;
            out.addAll(
                    TestNode.ofType(
                            SendAttempt.class, node.respondWithLoad(next.id(), 1, 100 * MS, 0)));
            out.addAll(TestNode.ofType(SendAttempt.class, node.arrive("a" + i)));
            out.addAll(TestNode.ofType(SendAttempt.class, node.arrive("b" + i)));
        }
        int rejected = 0;
        for (int i = 0; i < 40; i++) {
            rejected += TestNode.ofType(RejectRequest.class, node.arrive("c" + i)).size();
        }
        // With one request sent every 100 ms, about nine of those that arrive now can be sent
        // within their second.
        assertTrue(rejected >= 25, "rejected on arrival: " + rejected);
    }

    @Test
    void aClientRetryIsBoundByTheLatencyObjectiveOfItsFirstAttempt() {
        TestNode node = warm(new TestSettings(), 2, 10, 50 * MS);
        // 900 ms of the 2 s are left. The client's first attempt started 1.1 s ago, so its latency
        // objective of 1 s has passed.
        RejectRequest refuse =
                TestNode.onlyOfType(
                        RejectRequest.class, node.arrive("late", 0, node.now + 900 * MS, true));
        assertEquals(600 * MS, refuse.retryAfter());
        assertEquals(
                1,
                TestNode.ofType(
                                SendAttempt.class,
                                node.arrive("soon", 0, node.now + 1_900 * MS, true))
                        .size());
    }

    @Test
    void anUnmarkedClientRetryIsDetectedByItsShorterTimeout() {
        TestSettings settings = new TestSettings();
        settings.retriesMarked = false;
        TestNode node = warm(settings, 2, 10, 50 * MS);
        // Fewer than two requests have got no response, so these count as first attempts of clients
        // with a short timeout.
        for (int i = 0; i < 2; i++) {
            assertEquals(
                    1,
                    TestNode.ofType(
                                    SendAttempt.class,
                                    node.arrive("short" + i, 0, node.now + 900 * MS, false))
                            .size());
            node.deliver(new ClientDisconnected("short" + i));
        }
        // Two requests have now got no response, so a request with less time left is most likely a
        // retry.
        assertEquals(
                1,
                TestNode.ofType(
                                RejectRequest.class,
                                node.arrive("late", 0, node.now + 900 * MS, false))
                        .size());
    }

    @Test
    void pendingRequestsAreSentByPriority() {
        TestSettings settings = withProbes();
        settings.classes =
                List.of(
                        TestSettings.newRequestClass(
                                "low", Idempotency.IDEMPOTENT, DeduplicationScope.FLEET, 1),
                        TestSettings.newRequestClass(
                                "high", Idempotency.IDEMPOTENT, DeduplicationScope.FLEET, 10));
        TestNode node = warm(settings, 1, 30, 100 * MS);
        node.now += 1_000 * MS;
        node.arrive("low");
        node.probed(1, 4);
        node.arrive("high", 1, node.now + 2_000 * MS, false);
        List<DecisionAction> actions = List.of();
        while (TestNode.ofType(SendProbe.class, actions).isEmpty()) {
            actions = node.after(10 * MS);
        }
        assertEquals("high", TestNode.ofType(SendAttempt.class, node.probed(1, 0)).get(0).id());
    }

    // ---- Other kinds of deployments
    // ------------------------------------------------------------------

    private static TestSettings lateResponses(double lateValueRatio) {
        TestSettings settings = withProbes();
        settings.classes =
                List.of(
                        new RequestClass(
                                "work",
                                Idempotency.IDEMPOTENT,
                                DeduplicationScope.FLEET,
                                1_000_000,
                                2_000_000,
                                0,
                                1,
                                lateValueRatio,
                                false));
        return settings;
    }

    /**
     * Guards against a probe timeout that is shorter than the event interval. With an event
     * interval of 5 ms, every probe timed out before its response could be processed, and all
     * servers were probed.
     */
    @Test
    void aProbeDoesNotTimeOutBeforeItsResponseCanBeProcessed() {
        int[] probes = new int[2];
        for (int i = 0; i < 2; i++) {
            TestSettings settings = withProbes();
            settings.eventInterval = i == 0 ? MS : 5 * MS;
            TestNode node = warm(settings, 4, 30, 50 * MS);
            node.now += 1_000 * MS;
            probes[i] =
                    TestNode.ofType(SendProbe.class, node.arrive("q")).size()
                            + TestNode.ofType(SendProbe.class, node.after(5 * MS)).size();
        }
        assertEquals(2, probes[0], "event interval of 1 ms: the next server is probed");
        assertEquals(1, probes[1], "event interval of 5 ms: the probe hasn't timed out yet");
    }

    /**
     * Guards against a probe timeout that is too short for far zones. It was computed from one mean
     * round-trip time of near and far zones, and every probe of a far server timed out.
     */
    @Test
    void eachZoneHasItsOwnRoundTripTime() {
        TestNode node = new TestNode(withProbes().build());
        node.servers(2);
        Set<Long> timedOutServers = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            List<DecisionAction> actions = node.arrive("q" + i);
            while (TestNode.ofType(SendAttempt.class, actions).isEmpty()) {
                long server = TestNode.onlyOfType(SendProbe.class, actions).server();
                long roundTrip = server == 1 ? 20 * MS : MS;
                node.now += roundTrip - MS / 2;
                if (i >= 20 && !TestNode.ofType(SendProbe.class, node.after(0)).isEmpty()) {
                    timedOutServers.add(server);
                }
                node.now += MS / 2;
                actions =
                        node.deliver(
                                new ProbeEnded(
                                        server, AttemptResult.SERVED, roundTrip, TestNode.IDLE));
            }
            SendAttempt send = TestNode.onlyOfType(SendAttempt.class, actions);
            node.now += 50 * MS;
            node.endAttempt("q" + i, 0, send.server(), AttemptResult.SERVED, 50 * MS);
            node.now += 500 * MS;
        }
        assertEquals(Set.of(), timedOutServers);
    }

    /**
     * Guards against long queues of requests whose late responses have value. They queued for as
     * long as their clients waited, and three quarters of the responses came late.
     */
    @Test
    void aFirstAttemptIsRejectedAtItsLatencyObjectiveAndNotAtTheClientTimeout() {
        TestNode node = warm(lateResponses(0.5), 1, 30, 200 * MS);
        node.now += 1_000 * MS;
        long start = node.now;
        List<DecisionAction> actions = node.arrive("a");
        while (TestNode.ofType(RejectRequest.class, actions).isEmpty()
                && node.now < start + 2_000 * MS) {
            node.now += MS;
            actions =
                    TestNode.ofType(SendProbe.class, actions).isEmpty()
                            ? node.after(0)
                            : node.probed(1, 5);
        }
        assertTrue(node.now < start + 1_000 * MS, "rejected after " + (node.now - start));
    }

    /**
     * A request whose attempt failed is retried past its latency objective for the value of a late
     * response, but only where it doesn't displace other requests.
     */
    @Test
    void aFailedRequestIsRetriedPastItsObjectiveOnlyAtAnIdleServer() {
        for (int held : new int[] {0, 1}) {
            TestNode node = warm(lateResponses(0.5), 2, 30, 100 * MS);
            List<DecisionAction> actions = node.arrive("a");
            while (TestNode.ofType(SendAttempt.class, actions).isEmpty()) {
                actions = node.probed(TestNode.onlyOfType(SendProbe.class, actions).server(), 0);
            }
            long first = TestNode.onlyOfType(SendAttempt.class, actions).server();
            node.now += 1_100 * MS;
            actions = node.endAttempt("a", 0, first, AttemptResult.ERROR, 1_100 * MS);
            assertEquals(
                    0,
                    TestNode.ofType(RejectRequest.class, actions).size(),
                    "a late response still has value");
            actions = node.probed(TestNode.onlyOfType(SendProbe.class, actions).server(), held);
            assertEquals(
                    held == 0 ? 1 : 0,
                    TestNode.ofType(SendAttempt.class, actions).size(),
                    "held " + held);
        }
    }

    /**
     * Guards against idle cores. Without a capacity estimate, a server with three cores counted as
     * full with one request.
     */
    @Test
    void theCapacityOfAServerIsEstimatedFromItsReports() {
        for (boolean queues : new boolean[] {false, true}) {
            TestNode node = new TestNode(withProbes().build());
            node.servers(1);
            LoadReport busy =
                    queues
                            ? new LoadReport(5, 2, 1, Double.NaN, Double.NaN)
                            : new LoadReport(1.5, Double.NaN, 0.5, Double.NaN, Double.NaN);
            // The utilization isn't used before that, because it lags behind a burst at an idle
            // fleet.
            node.now += 2_000 * MS;
            for (int i = 0; i < 40; i++) {
                node.deliver(new ProbeEnded(1, AttemptResult.SERVED, MS, busy));
            }
            int sent = 0;
            node.now += 1_000 * MS;
            for (int i = 0; i < 30; i++) {
                List<DecisionAction> actions = node.arrive("w" + i);
                if (!TestNode.ofType(SendProbe.class, actions).isEmpty()) {
                    actions = node.probed(1, 2);
                }
                for (SendAttempt send : TestNode.ofType(SendAttempt.class, actions)) {
                    sent++;
                    node.now += 100 * MS;
                    node.endAttempt(send.id(), 0, 1, AttemptResult.SERVED, 100 * MS);
                }
                node.now += 1_000 * MS;
            }
            assertTrue(sent >= 30, "two requests on three cores leave one free: sent " + sent);
        }
    }

    /**
     * Guards against rejections at an idle fleet. When probe responses contained no load report,
     * the load of every server counted as unknown, and all requests were rejected.
     */
    @Test
    void withoutLoadReportsTheRoundRobinContinues() {
        TestNode node = warm(withProbes(), 3, 30, 50 * MS);
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 12; i++) {
            node.now += 1_000 * MS;
            List<DecisionAction> actions = node.arrive("q" + i);
            for (int k = 0; k < 5 && TestNode.ofType(SendAttempt.class, actions).isEmpty(); k++) {
                long server = TestNode.onlyOfType(SendProbe.class, actions).server();
                actions =
                        node.deliver(
                                new ProbeEnded(server, AttemptResult.SERVED, MS, LoadReport.NONE));
            }
            SendAttempt send = TestNode.onlyOfType(SendAttempt.class, actions);
            used.add(send.server());
            node.now += 50 * MS;
            node.endAttempt("q" + i, 0, send.server(), AttemptResult.SERVED, 50 * MS);
        }
        assertEquals(Set.of(1L, 2L, 3L), used);
    }

    /**
     * Guards against queues that are limited only by the latency objectives of their requests. Such
     * queues grew until every server of the fleet was overloaded.
     */
    @Test
    void nothingIsSentToAServerWithMoreThanOneAndAHalfTimesItsCapacity() {
        for (int held : new int[] {1, 2}) {
            TestNode node = warm(withProbes(), 1, 30, 10 * MS);
            node.now += 1_000 * MS;
            node.arrive("q");
            assertEquals(
                    held == 1 ? 1 : 0,
                    TestNode.ofType(SendAttempt.class, node.probed(1, held)).size(),
                    "held " + held);
        }
    }

    /**
     * A free core isn't used for an attempt that would end after its latency objective, unless no
     * other attempt is outstanding.
     */
    @Test
    void aFreeCoreIsNotUsedForARequestThatWouldEndLate() {
        TestNode node = warm(lateResponses(0.5), 3, 60, 900 * MS);
        node.now += 1_000 * MS;
        List<DecisionAction> actions = node.arrive("trial");
        while (TestNode.ofType(SendAttempt.class, actions).isEmpty()) {
            actions = node.probed(TestNode.onlyOfType(SendProbe.class, actions).server(), 0);
        }
        int sent = 0;
        for (int i = 0; i < 40; i++) {
            actions =
                    i == 0
                            ? node.arrive("q", 0, node.now + 2_000 * MS, false)
                            : node.after(10 * MS);
            for (SendProbe probe : TestNode.ofType(SendProbe.class, actions)) {
                sent += TestNode.ofType(SendAttempt.class, node.probed(probe.server(), 0)).size();
            }
        }
        assertTrue(sent <= 1, "sent " + sent);
    }

    /**
     * Guards against repeated work. When requests with the same affinity key were sent to many
     * servers, each of these servers had to do all of the work for the key. The round-robin must
     * still distribute requests evenly.
     */
    @Test
    void requestsOfAnAffinityKeyGoToOneServerAndAllServersKeepTheirShares() {
        for (boolean warm : new boolean[] {true, false}) {
            TestSettings settings = new TestSettings();
            settings.cacheAffinity = warm;
            TestNode node = new TestNode(settings.build());
            node.servers(4);
            int[][] sent = new int[9][5];
            SplittableRandom keys = new SplittableRandom(1);
            for (int i = 0; i < 400; i++) {
                node.affinityKey = keys.nextInt(1, 9);
                sent[(int) node.affinityKey][(int) node.serve("q" + i, 50 * MS)]++;
            }
            int[] shares = new int[5];
            int atTopServers = 0;
            for (int[] of : sent) {
                atTopServers += Arrays.stream(of).max().orElse(0);
                for (int server = 1; server <= 4; server++) {
                    shares[server] += of[server];
                }
            }
            // Without affinity the most used server of a key gets a third of its requests.
            assertTrue(
                    warm ? atTopServers > 180 : atTopServers < 160,
                    "requests at the most used servers of their keys: " + atTopServers);
            for (int s = 1; s <= 4; s++) {
                assertTrue(
                        shares[s] >= 80 && shares[s] <= 120,
                        "requests at server " + s + ": " + shares[s]);
            }
        }
    }

    /**
     * Guards against events that are slow to handle while many requests are pending. At each event
     * the engine passed over the subset twice for each pending request, which took 15 us per
     * request.
     */
    @Test
    void whenTheFleetIsBusyOnlyTheFirstPendingRequestSendsProbes() {
        TestNode node = warm(withProbes(), 2, 30, 100 * MS);
        node.now += 1_000 * MS;
        for (SendProbe probe : TestNode.ofType(SendProbe.class, node.arrive("head"))) {
            TestNode.ofType(SendProbe.class, node.probed(probe.server(), 5))
                    .forEach(p -> node.probed(p.server(), 5));
        }
        int probes = 0;
        for (int i = 0; i < 20; i++) {
            probes += TestNode.ofType(SendProbe.class, node.arrive("q" + i)).size();
        }
        assertEquals(0, probes, "every server is known to be busy");
    }

    /**
     * Guards against a search that takes too long. The search for a server with a shorter queue
     * used up the time in which a server could still have completed the request.
     */
    @Test
    void aRequestThatHasSearchedForLongIsSentToAServerOfKnownLoad() {
        for (boolean longAgo : new boolean[] {false, true}) {
            TestNode node = warm(withProbes(), 3, 30, 50 * MS);
            node.now += 1_000 * MS;
            SendProbe first = TestNode.onlyOfType(SendProbe.class, node.arrive("q"));
            node.now += longAgo ? 101 * MS : MS;
            List<DecisionAction> actions = node.probed(first.server(), 1);
            int sent = TestNode.ofType(SendAttempt.class, actions).size();
            assertEquals(
                    longAgo ? 1 : 0, sent, "after a tenth of its latency objective: " + longAgo);
        }
    }

    /**
     * Guards against capacity estimates from outdated utilizations. The utilization that servers
     * report lags behind their load. While an idle fleet got its first requests, the capacity of
     * three cores was estimated as thirty.
     */
    @Test
    void theCapacityIsNotEstimatedWhileTheFleetGetsItsFirstRequests() {
        TestNode node = new TestNode(withProbes().build());
        node.servers(1);
        for (int i = 0; i < 40; i++) {
            node.deliver(
                    new ProbeEnded(
                            1, AttemptResult.SERVED, MS, new LoadReport(9, Double.NaN, 0.3, 0, 0)));
        }
        for (int i = 0; i < 4; i++) {
            serveWithProbe(node, "w" + i, 10 * MS);
        }
        node.now += 1_000 * MS;
        node.arrive("q");
        assertEquals(
                0,
                TestNode.ofType(SendAttempt.class, node.probed(1, 4)).size(),
                "sent to a server that holds four requests");
    }

    /**
     * Guards against lost responses that raise the mean service time. When an eighth of the
     * responses were lost, every server seemed too slow for any request.
     */
    @Test
    void lostResponsesDoNotRaiseTheServiceTimeOfTheFleet() {
        TestNode node = warm(withProbes(), 2, 60, 100 * MS);
        for (int i = 0; i < 3; i++) {
            List<DecisionAction> actions = node.arrive("lost" + i);
            while (TestNode.ofType(SendAttempt.class, actions).isEmpty()) {
                actions = node.probed(TestNode.onlyOfType(SendProbe.class, actions).server(), 0);
            }
            node.now += 1_990 * MS;
            node.endAttempt(
                    "lost" + i,
                    0,
                    TestNode.onlyOfType(SendAttempt.class, actions).server(),
                    AttemptResult.TIMED_OUT,
                    1_990 * MS);
        }
        node.now += 1_000 * MS;
        List<DecisionAction> actions = node.arrive("q", 0, node.now + 2_000 * MS, false);
        for (int i = 0; i < 2 && TestNode.ofType(SendAttempt.class, actions).isEmpty(); i++) {
            actions = node.probed(TestNode.onlyOfType(SendProbe.class, actions).server(), 1);
        }
        assertEquals(
                1,
                TestNode.ofType(SendAttempt.class, actions).size(),
                "there is enough time behind one request");
    }

    /**
     * Guards against long waits for lost responses. A node with little traffic has only one attempt
     * at a server, so it didn't detect the server as silent and waited for each lost response until
     * the timeout.
     */
    @Test
    void whileResponsesAreLostAnOverdueAttemptIsReplaced() {
        for (boolean losing : new boolean[] {true, false}) {
            TestNode node = warm(new TestSettings(), 8, 60, 50 * MS);
            for (int i = 0; losing && i < 4; i++) {
                SendAttempt send = TestNode.onlyOfType(SendAttempt.class, node.arrive("lost" + i));
                node.endAttempt("lost" + i, 0, send.server(), AttemptResult.TIMED_OUT, 60 * MS);
                node.deliver(new ClientDisconnected("lost" + i));
            }
            node.arrive("q");
            int cancels = 0;
            for (int i = 0; i < 20; i++) {
                cancels +=
                        (int)
                                TestNode.ofType(CancelAttempt.class, node.after(25 * MS)).stream()
                                        .filter(c -> "q".equals(c.id()))
                                        .count();
            }
            assertEquals(losing, cancels > 0, "cancels " + cancels);
        }
    }

    /**
     * Guards against ejections after a single reset. When connections were reset at random, every
     * server was ejected and then limited to a slow-start budget.
     */
    @Test
    void oneResetDoesNotEjectAServerAndTwoConsecutiveResetsDo() {
        for (int resets = 1; resets <= 2; resets++) {
            TestSettings settings = withProbes();
            settings.classes =
                    List.of(
                            TestSettings.newRequestClass(
                                    Idempotency.NON_IDEMPOTENT, DeduplicationScope.FLEET));
            TestNode node = warm(settings, 1, 30, 50 * MS);
            for (int i = 0; i < resets; i++) {
                assertEquals(1, sendWithProbe(node, "broken" + i));
                node.now += 10 * MS;
                node.endAttempt("broken" + i, 0, 1, AttemptResult.RESET, 10 * MS);
            }
            List<DecisionAction> next = node.arrive("q");
            boolean used =
                    !TestNode.ofType(SendProbe.class, next).isEmpty()
                            || !TestNode.ofType(SendAttempt.class, next).isEmpty();
            assertEquals(resets == 1, used, "after resets: " + resets);
        }
    }

    /**
     * Guards against the rejection of nearly all requests. When a third of all connections failed,
     * the retries used up the retry budget, and each server was considered restarted and limited to
     * a slow-start budget.
     */
    @Test
    void failedConnectionsAtAllServersUseNoRetryBudgetAndStartNoSlowStart() {
        TestNode node = warm(new TestSettings(), 8, 30, 50 * MS);
        int lateResponses = 0;
        for (int i = 0; i < 300; i++) {
            node.now += 60 * MS;
            String id = "r" + i;
            int attempt = 0;
            SendAttempt send = first(node.arrive(id));
            for (; send != null && (i + attempt) % 3 == 0; attempt++) {
                node.now += 5 * MS;
                send =
                        first(
                                node.endAttempt(
                                        id,
                                        attempt,
                                        send.server(),
                                        AttemptResult.CONNECT_FAILED,
                                        5 * MS));
            }
            if (send == null) {
                lateResponses++;
                node.after(node.settings.requestClasses().get(0).deadline());
            } else {
                node.now += 50 * MS;
                node.endAttempt(id, attempt, send.server(), AttemptResult.SERVED, 50 * MS);
            }
        }
        assertTrue(
                TestNode.ofType(RejectRequest.class, node.allActions).isEmpty(),
                "rejected because the retry budget was used up");
        assertTrue(lateResponses < 10, lateResponses + " of 300 got no further attempt in time");
    }

    /**
     * Guards against an entire fleet in slow start. When one attempt in seven fails, each server
     * has two consecutive failures every few seconds, and one server after another was limited to a
     * slow-start budget.
     */
    @Test
    void twoConsecutiveFailuresStartNoSlowStartWhereManyFail() {
        TestNode node = warm(new TestSettings(), 8, 30, 50 * MS);
        for (int i = 0; i < 210; i++) {
            node.now += 60 * MS;
            SendAttempt send = first(node.arrive("r" + i));
            if (i % 7 == 0) {
                node.now += 5 * MS;
                send =
                        first(
                                node.endAttempt(
                                        "r" + i,
                                        0,
                                        send.server(),
                                        AttemptResult.CONNECT_FAILED,
                                        5 * MS));
            }
            node.now += 50 * MS;
            node.endAttempt(
                    "r" + i, i % 7 == 0 ? 1 : 0, send.server(), AttemptResult.SERVED, 50 * MS);
        }
        SendAttempt twice = first(node.arrive("a"));
        node.endAttempt("a", 0, twice.server(), AttemptResult.CONNECT_FAILED, 5 * MS);
        node.now += 200 * MS;
        int failed = 1;
        int sends = 0;
        for (int i = 0; i < 400; i++) {
            node.now += 10 * MS;
            SendAttempt send = first(node.arrive("b" + i));
            boolean fails = send != null && send.server() == twice.server() && failed++ == 1;
            if (send != null) {
                sends += send.server() == twice.server() ? 1 : 0;
                node.now += 5 * MS;
                node.endAttempt(
                        "b" + i,
                        0,
                        send.server(),
                        fails ? AttemptResult.CONNECT_FAILED : AttemptResult.SERVED,
                        5 * MS);
            }
        }
        assertTrue(sends >= 40, sends + " of 400, an eighth is 50: limited to a slow-start budget");
    }

    /** Guards against a restarted server that gets its full share of requests at once. */
    @Test
    void aServerThatAloneWasUnreachableIsInSlowStartAfterwards() {
        TestNode node = warm(new TestSettings(), 8, 30, 50 * MS);
        SendAttempt lost = first(node.arrive("a"));
        node.endAttempt("a", 0, lost.server(), AttemptResult.CONNECT_FAILED, 5 * MS);
        int sends = 0;
        for (int i = 0; i < 400; i++) {
            node.now += 10 * MS;
            SendAttempt send = first(node.arrive("b" + i));
            if (send != null) {
                sends += send.server() == lost.server() ? 1 : 0;
                node.now += 5 * MS;
                node.endAttempt("b" + i, 0, send.server(), AttemptResult.SERVED, 5 * MS);
            }
        }
        assertTrue(sends < 40, sends + " of 400, an eighth is 50");
    }

    private static SendAttempt first(List<DecisionAction> actions) {
        return TestNode.ofType(SendAttempt.class, actions).stream().findFirst().orElse(null);
    }

    /** Sends a request to a server that a probe reports as idle, and returns that server. */
    private static long sendWithProbe(TestNode node, String id) {
        List<DecisionAction> actions = node.arrive(id);
        while (TestNode.ofType(SendAttempt.class, actions).isEmpty()) {
            actions = node.probed(TestNode.onlyOfType(SendProbe.class, actions).server(), 0);
        }
        return TestNode.onlyOfType(SendAttempt.class, actions).server();
    }

    // ---- Silent servers
    // ------------------------------------------------------------------------------------

    @Test
    void oneLongRequestDoesNotMakeAServerCountAsSilent() {
        TestNode node = warm(new TestSettings(), 2, 30, 50 * MS);
        node.arrive("costly");
        int cancels = 0;
        for (int i = 0; i < 30; i++) {
            cancels += TestNode.ofType(CancelAttempt.class, node.after(25 * MS)).size();
        }
        assertEquals(0, cancels);
    }

    @Test
    void attemptsAtASilentServerAreReplacedAtOtherServers() {
        TestNode node = warm(new TestSettings(), 3, 60, 50 * MS);
        long silent = 2;
        List<SendAttempt> stuck = new ArrayList<>();
        for (SendAttempt s : burst(node, "q", 6)) {
            if (s.server() == silent) {
                stuck.add(s);
            } else {
                node.endAttempt(s.id(), 0, s.server(), AttemptResult.SERVED, 50 * MS);
            }
        }
        assertTrue(stuck.size() >= 2, "outstanding at the silent server: " + stuck);
        Set<String> cancelled = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            TestNode.ofType(CancelAttempt.class, node.after(25 * MS))
                    .forEach(c -> cancelled.add(c.id()));
        }
        assertTrue(
                cancelled.containsAll(stuck.stream().map(SendAttempt::id).toList()),
                "cancelled " + cancelled);
        for (SendAttempt s : stuck) {
            SendAttempt retry =
                    TestNode.onlyOfType(
                            SendAttempt.class,
                            node.endAttempt(s.id(), 0, silent, AttemptResult.CANCELLED, 500 * MS));
            assertNotEquals(silent, retry.server());
        }
    }

    @Test
    void aServerThatOnlyRespondsWithErrorsGetsFewRequests() {
        for (boolean probes : new boolean[] {false, true}) {
            TestSettings settings = new TestSettings();
            settings.probes = probes;
            TestNode node = warm(settings, 4, 40, 50 * MS);
            int onFailing = 0;
            for (int i = 0; i < 400; i++) {
                List<DecisionAction> actions = node.arrive("e" + i);
                for (int attempt = 0; !actions.isEmpty(); ) {
                    List<SendAttempt> sends = TestNode.ofType(SendAttempt.class, actions);
                    if (sends.isEmpty()) {
                        List<SendProbe> asked = TestNode.ofType(SendProbe.class, actions);
                        actions =
                                asked.isEmpty() ? List.of() : node.probed(asked.get(0).server(), 0);
                    } else if (sends.get(0).server() == 1) {
                        onFailing++;
                        node.now += 2 * MS;
                        actions =
                                node.endAttempt("e" + i, attempt++, 1, AttemptResult.ERROR, 2 * MS);
                    } else {
                        node.now += 50 * MS;
                        node.endAttempt(
                                "e" + i,
                                attempt,
                                sends.get(0).server(),
                                AttemptResult.SERVED,
                                50 * MS);
                        actions = List.of();
                    }
                }
            }
            assertTrue(
                    onFailing >= 2 && onFailing <= 16, "sent to the failing server: " + onFailing);
        }
    }

    // ---- Load reports
    // -----------------------------------------------------------------------------

    @Test
    void aServerReportedBusyIsSkippedAndAnIdleOneSelected() {
        TestNode node = warm(withProbes(), 3, 30, 50 * MS);
        node.now += 1_000 * MS;
        SendProbe first = TestNode.onlyOfType(SendProbe.class, node.arrive("q"));
        SendProbe second = TestNode.onlyOfType(SendProbe.class, node.probed(first.server(), 2));
        assertNotEquals(first.server(), second.server());
        SendAttempt send = TestNode.onlyOfType(SendAttempt.class, node.probed(second.server(), 0));
        assertEquals(second.server(), send.server());
    }

    @Test
    void aServerThatDoesNotRespondToAProbeIsSkipped() {
        TestNode node = warm(withProbes(), 3, 30, 50 * MS);
        node.now += 1_000 * MS;
        SendProbe first = TestNode.onlyOfType(SendProbe.class, node.arrive("q"));
        SendProbe second = TestNode.onlyOfType(SendProbe.class, node.after(20 * MS));
        assertNotEquals(first.server(), second.server());
        node.deliver(
                new ProbeEnded(
                        first.server(), AttemptResult.CONNECT_FAILED, 20 * MS, LoadReport.NONE));
        assertEquals(
                second.server(),
                TestNode.onlyOfType(SendAttempt.class, node.probed(second.server(), 0)).server());
    }

    @Test
    void oneFailedProbeDoesNotEjectAServerAndTwoDo() {
        TestNode node = warm(withProbes(), 1, 30, 50 * MS);
        node.now += 1_000 * MS;
        long server = TestNode.onlyOfType(SendProbe.class, node.arrive("q")).server();
        ProbeEnded failed = new ProbeEnded(server, AttemptResult.ERROR, MS, LoadReport.NONE);
        assertEquals(server, TestNode.onlyOfType(SendProbe.class, node.deliver(failed)).server());
        assertEquals(List.of(), TestNode.ofType(SendProbe.class, node.deliver(failed)));
    }

    @Test
    void whenAllServersBecomeSlowNothingQueuesBehindOtherRequests() {
        TestNode node = warm(withProbes(), 2, 40, 100 * MS);
        for (int i = 0; i < 20; i++) {
            serveWithProbe(node, "slow" + i, 700 * MS);
        }
        node.now += 1_000 * MS;
        List<DecisionAction> actions = node.arrive("q");
        for (int i = 0; i < 2; i++) {
            actions = node.probed(TestNode.onlyOfType(SendProbe.class, actions).server(), 1);
        }
        assertEquals(
                0,
                TestNode.ofType(SendAttempt.class, actions).size(),
                "700 ms after a wait of 700 ms don't fit in 1 s");
    }

    // ---- Rules on repeated attempts, draining and slow start
    // -----------------------------------------------------------------------

    @Test
    void aNonIdempotentRequestIsRetriedOnlyIfItWasNeverExecuted() {
        TestSettings settings = new TestSettings();
        settings.classes =
                List.of(
                        TestSettings.newRequestClass(
                                Idempotency.NON_IDEMPOTENT, DeduplicationScope.FLEET));
        TestNode node = warm(settings, 3, 10, 50 * MS);
        SendAttempt first = TestNode.onlyOfType(SendAttempt.class, node.arrive("a"));
        SendAttempt retry =
                TestNode.onlyOfType(
                        SendAttempt.class,
                        node.endAttempt("a", 0, first.server(), AttemptResult.REJECTED, MS));
        assertNotEquals(first.server(), retry.server());
        assertEquals(
                1,
                TestNode.ofType(
                                FailRequest.class,
                                node.endAttempt("a", 1, retry.server(), AttemptResult.RESET, MS))
                        .size());
    }

    @Test
    void aKeyedRequestIsRetriedOnlyInItsZoneAndItsDeduplicationWindow() {
        TestSettings settings = new TestSettings();
        settings.classes =
                List.of(TestSettings.newRequestClass(Idempotency.KEYED, DeduplicationScope.ZONE));
        TestNode node = warm(settings, 4, 10, 50 * MS);
        SendAttempt first = TestNode.onlyOfType(SendAttempt.class, node.arrive("a"));
        SendAttempt retry =
                TestNode.onlyOfType(
                        SendAttempt.class,
                        node.endAttempt("a", 0, first.server(), AttemptResult.ERROR, MS));
        assertEquals(first.server() % 2, retry.server() % 2);
        node.now += 800 * MS;
        assertEquals(
                1,
                TestNode.ofType(
                                FailRequest.class,
                                node.endAttempt("a", 1, retry.server(), AttemptResult.ERROR, MS))
                        .size());
    }

    /** A retry can wait for its connection until the deduplication window is over. */
    @Test
    void aRetryOfAKeyedRequestMayBeginOnlyInItsDeduplicationWindow() {
        TestSettings settings = new TestSettings();
        settings.classes =
                List.of(TestSettings.newRequestClass(Idempotency.KEYED, DeduplicationScope.ZONE));
        TestNode node = warm(settings, 4, 10, 50 * MS);
        long sentAt = node.now;
        SendAttempt first = TestNode.onlyOfType(SendAttempt.class, node.arrive("a"));
        assertTrue(node.engine.mayBegin(sentAt + 900 * MS, "a", 0));
        node.endAttempt("a", 0, first.server(), AttemptResult.ERROR, MS);
        assertTrue(node.engine.mayBegin(sentAt + 799 * MS, "a", 1));
        assertFalse(node.engine.mayBegin(sentAt + 800 * MS, "a", 1));
    }

    @Test
    void nothingIsSentToADrainingOrRemovedServer() {
        TestNode node = warm(new TestSettings(), 3, 10, 50 * MS);
        node.updateServer(1, EndpointState.DRAINING, 0);
        node.updateServer(2, EndpointState.REMOVED, 0);
        for (int i = 0; i < 10; i++) {
            assertEquals(3, node.serve("q" + i, 10 * MS));
        }
    }

    @Test
    void aRestartedServerGetsOnlyThisNodesShareOfTheSlowStartBudget() {
        TestSettings settings = withProbes();
        settings.nodes = 3;
        TestNode node = warm(settings, 2, 40, 100 * MS);
        node.updateServer(1, EndpointState.UP, node.now);
        int sent = 0;
        long end = node.now + 1_000 * MS;
        for (int i = 0; node.now < end; i++) {
            sent += serveWithProbe(node, "q" + i, 100 * MS) == 1 ? 1 : 0;
        }
        // 3 x 0.2 to 0.3 of 10 requests per second, divided among three nodes, is under one per
        // second. One send is always allowed.
        assertTrue(sent <= 1, "sent to the server in slow start: " + sent);
    }

    @Test
    void responsesOfAServerInSlowStartDetermineItsServiceTime() {
        int[] sent = new int[2];
        for (int quick = 0; quick < 2; quick++) {
            TestNode node = warm(withProbes(), 2, 60, 100 * MS);
            node.now += 2_000 * MS;
            node.updateServer(1, EndpointState.UP, node.now);
            // By its age alone the server has a fifth to two fifths of its full capacity.
            node.now += 3_000 * MS;
            for (int i = 0; i < 40; i++) {
                sent[quick] +=
                        serveDuringSlowStart(node, "q" + i, quick == 1 ? 100 * MS : 450 * MS) == 1
                                ? 1
                                : 0;
                node.now += 100 * MS;
            }
        }
        assertTrue(
                sent[1] > sent[0],
                "sent to a slow server " + sent[0] + ", to a fast one " + sent[1]);
    }

    /**
     * Serves a request while the other server is busy and little time is left. Returns the server,
     * or 0 if the request was not sent.
     */
    private static long serveDuringSlowStart(TestNode node, String id, long elapsed) {
        List<DecisionAction> actions = node.arrive(id, 0, node.now + 1_500 * MS, true);
        while (TestNode.ofType(SendAttempt.class, actions).isEmpty()) {
            List<SendProbe> probes = TestNode.ofType(SendProbe.class, actions);
            if (probes.isEmpty()) {
                return 0;
            }
            actions = node.probed(probes.get(0).server(), probes.get(0).server() == 2 ? 3 : 0);
        }
        SendAttempt send = TestNode.onlyOfType(SendAttempt.class, actions);
        node.now += elapsed;
        node.deliver(
                new AttemptEnded(
                        id,
                        0,
                        send.server(),
                        AttemptResult.SERVED,
                        elapsed,
                        true,
                        new LoadReport(1, 0, 0.5, Double.NaN, Double.NaN)));
        return send.server();
    }

    @Test
    void nothingIsSentAfterTheClientDisconnected() {
        TestNode node = warm(new TestSettings(), 3, 10, 50 * MS);
        SendAttempt send = TestNode.onlyOfType(SendAttempt.class, node.arrive("a"));
        node.deliver(new ClientDisconnected("a"));
        List<DecisionAction> later =
                node.endAttempt("a", 0, send.server(), AttemptResult.RESET, 50 * MS);
        assertEquals(
                0,
                TestNode.ofType(SendAttempt.class, later).size()
                        + TestNode.ofType(RejectRequest.class, later).size());
    }

    @Test
    void noMoreAttemptsAreMadeThanTheSettingsAllow() {
        TestSettings settings = new TestSettings();
        settings.maxAttempts = 2;
        TestNode node = warm(settings, 4, 10, 50 * MS);
        SendAttempt first = TestNode.onlyOfType(SendAttempt.class, node.arrive("a"));
        SendAttempt second =
                TestNode.onlyOfType(
                        SendAttempt.class,
                        node.endAttempt("a", 0, first.server(), AttemptResult.REJECTED, MS));
        List<DecisionAction> last =
                node.endAttempt("a", 1, second.server(), AttemptResult.REJECTED, MS);
        assertEquals(1, TestNode.ofType(RejectRequest.class, last).size());
    }

    @Test
    void theTimerIsSetForTheDeadlineOfAPendingRequest() {
        TestNode node = new TestNode(new TestSettings().build());
        node.servers(0);
        node.now += 7 * MS;
        long giveUpAt = node.now + 601 * MS;
        List<DecisionAction> actions = node.arrive("a", 0, giveUpAt, false);
        while (TestNode.ofType(RejectRequest.class, actions).isEmpty()) {
            List<SetTimer> timers = TestNode.ofType(SetTimer.class, node.allActions);
            actions = node.after(timers.get(timers.size() - 1).delay());
        }
        assertTrue(
                node.now <= giveUpAt + 5 * MS,
                "rejected " + (node.now - giveUpAt) + " after the client's timeout");
    }

    // ---- The endpoint list
    // ----------------------------------------------------------------------------

    @Test
    void aFailedPollIsRepeatedWithBackoff() {
        TestSettings settings = new TestSettings();
        settings.discoveryMode = DiscoveryMode.POLL;
        TestNode node = new TestNode(settings.build());
        node.servers(1);
        List<Long> waits = new ArrayList<>();
        for (int call = 0; call < 4; call++) {
            long from = node.now;
            boolean asked = false;
            while (!asked) {
                asked = !TestNode.ofType(WatchEndpoints.class, node.after(10 * MS)).isEmpty();
            }
            waits.add(node.now - from);
            node.deliver(new DiscoveryFailed());
        }
        assertTrue(waits.get(0) <= 210 * MS, "first polled after " + waits);
        assertTrue(waits.get(1) >= 250 * MS && waits.get(3) > waits.get(1), "waits " + waits);
    }

    @Test
    void withoutServersEveryRequestStillGetsAResponse() {
        TestNode node = new TestNode(new TestSettings().build());
        node.servers(0);
        node.arrive("a");
        node.after(999 * MS);
        assertEquals(1, TestNode.ofType(RejectRequest.class, node.allActions).size());
    }
}
