// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
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

/** Each departure from the design, and each failure that was found, by example. */
class DecisionEngineTest {
    private static final long MS = TestNode.MS;

    /** Serves requests one by one until rooms and means have settled. */
    private static TestNode warm(TestSettings settings, int servers, int requests, long elapsed) {
        TestNode node = new TestNode(settings.build());
        node.servers(servers);
        for (int i = 0; i < requests; i++) {
            if (settings.probes) {
                probedServe(node, "w" + i, elapsed);
            } else {
                node.serve("w" + i, elapsed);
            }
        }
        return node;
    }

    private static long probedServe(TestNode node, String id, long elapsed) {
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

    private static TestSettings probing() {
        TestSettings settings = new TestSettings();
        settings.probes = true;
        return settings;
    }

    // ---- Giving up
    // ----------------------------------------------------------------------------------

    @Test
    void aClassIsNotLockedOutByASpellOfTimeOuts() {
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
        assertEquals(0, TestNode.ofType(RejectRequest.class, actions).size(), "refused on arrival");
    }

    @Test
    void whatCanNoLongerBeInTimeIsAnsweredAtOnce() {
        TestNode node = warm(probing(), 1, 30, 200 * MS);
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
        assertTrue(node.now < start + 998 * MS, "given up after " + (node.now - start));
        assertTrue(node.now > start + 500 * MS, "given up after " + (node.now - start));
    }

    @Test
    void whatTheBacklogCannotReachInTimeIsRefusedOnArrival() {
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
        int refused = 0;
        for (int i = 0; i < 40; i++) {
            refused += TestNode.ofType(RejectRequest.class, node.arrive("c" + i)).size();
        }
        // At a send each 100 ms about nine of those that come now can be reached within their
        // second.
        assertTrue(refused >= 25, "refused on arrival: " + refused);
    }

    @Test
    void aRepeatIsJudgedByTheAimOfItsFirstTry() {
        TestNode node = warm(new TestSettings(), 2, 10, 50 * MS);
        // 900 ms of the 2 s are left: the first try began 1.1 s ago, past its aim of 1 s.
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
    void anUnmarkedRepeatShowsByItsShorterTime() {
        TestSettings settings = new TestSettings();
        settings.retriesMarked = false;
        TestNode node = warm(settings, 2, 10, 50 * MS);
        // Nothing was given up on: these are first tries of clients that will not wait for long.
        for (int i = 0; i < 2; i++) {
            assertEquals(
                    1,
                    TestNode.ofType(
                                    SendAttempt.class,
                                    node.arrive("short" + i, 0, node.now + 900 * MS, false))
                            .size());
            node.deliver(new ClientDisconnected("short" + i));
        }
        // Two were: one that comes with less time left has most likely been here before.
        assertEquals(
                1,
                TestNode.ofType(
                                RejectRequest.class,
                                node.arrive("late", 0, node.now + 900 * MS, false))
                        .size());
    }

    @Test
    void heldRequestsGoByWorth() {
        TestSettings settings = probing();
        settings.classes =
                List.of(
                        TestSettings.newRequestClass(
                                "cheap", Idempotency.IDEMPOTENT, DeduplicationScope.FLEET, 1),
                        TestSettings.newRequestClass(
                                "dear", Idempotency.IDEMPOTENT, DeduplicationScope.FLEET, 10));
        TestNode node = warm(settings, 1, 30, 100 * MS);
        node.now += 1_000 * MS;
        node.arrive("cheap");
        node.probed(1, 4);
        node.arrive("dear", 1, node.now + 2_000 * MS, false);
        List<DecisionAction> actions = List.of();
        while (TestNode.ofType(SendProbe.class, actions).isEmpty()) {
            actions = node.after(10 * MS);
        }
        assertEquals("dear", TestNode.ofType(SendAttempt.class, node.probed(1, 0)).get(0).id());
    }

    // ---- Another shape of deployment
    // ------------------------------------------------------------------

    private static TestSettings late(double lateWorth) {
        TestSettings settings = probing();
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
                                lateWorth,
                                false));
        return settings;
    }

    /**
     * With rounds of 5 ms every server was mute before its answer could be heard, and all were
     * sounded.
     */
    @Test
    void aServerIsNotMuteBeforeItsAnswerCanBeHeard() {
        int[] probes = new int[2];
        for (int i = 0; i < 2; i++) {
            TestSettings settings = probing();
            settings.eventInterval = i == 0 ? MS : 5 * MS;
            TestNode node = warm(settings, 4, 30, 50 * MS);
            node.now += 1_000 * MS;
            probes[i] =
                    TestNode.ofType(SendProbe.class, node.arrive("q")).size()
                            + TestNode.ofType(SendProbe.class, node.after(5 * MS)).size();
        }
        assertEquals(2, probes[0], "rounds of 1 ms: the next one is sounded");
        assertEquals(1, probes[1], "rounds of 5 ms: the answer is not due yet");
    }

    /** One mean of near and far trips made every far server mute. */
    @Test
    void eachZoneHasATripOfItsOwn() {
        TestNode node = new TestNode(probing().build());
        node.servers(2);
        Set<Long> mute = new HashSet<>();
        for (int i = 0; i < 60; i++) {
            List<DecisionAction> actions = node.arrive("q" + i);
            while (TestNode.ofType(SendAttempt.class, actions).isEmpty()) {
                long server = TestNode.onlyOfType(SendProbe.class, actions).server();
                long trip = server == 1 ? 20 * MS : MS;
                node.now += trip - MS / 2;
                if (i >= 20 && !TestNode.ofType(SendProbe.class, node.after(0)).isEmpty()) {
                    mute.add(server);
                }
                node.now += MS / 2;
                actions =
                        node.deliver(
                                new ProbeEnded(server, AttemptResult.SERVED, trip, TestNode.IDLE));
            }
            SendAttempt send = TestNode.onlyOfType(SendAttempt.class, actions);
            node.now += 50 * MS;
            node.endAttempt("q" + i, 0, send.server(), AttemptResult.SERVED, 50 * MS);
            node.now += 500 * MS;
        }
        assertEquals(Set.of(), mute);
    }

    /**
     * With late worth requests queued for as long as clients waited, and three quarters came late.
     */
    @Test
    void aFirstTryIsRefusedWhenItsAimIsLostAndNotWhenItsClientLeaves() {
        TestNode node = warm(late(0.5), 1, 30, 200 * MS);
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
        assertTrue(node.now < start + 1_000 * MS, "refused after " + (node.now - start));
    }

    /**
     * What was tried in vain is tried on for its late worth, but only where it takes nobody's
     * place.
     */
    @Test
    void whatWasTriedInVainGoesOnPastItsAimAtAFreeCoreOnly() {
        for (int held : new int[] {0, 1}) {
            TestNode node = warm(late(0.5), 2, 30, 100 * MS);
            List<DecisionAction> actions = node.arrive("a");
            while (TestNode.ofType(SendAttempt.class, actions).isEmpty()) {
                actions = node.probed(TestNode.onlyOfType(SendProbe.class, actions).server(), 0);
            }
            long first = TestNode.onlyOfType(SendAttempt.class, actions).server();
            node.now += 1_100 * MS;
            actions = node.endAttempt("a", 0, first, AttemptResult.ERROR, 1_100 * MS);
            assertEquals(
                    0, TestNode.ofType(RejectRequest.class, actions).size(), "late worth is left");
            actions = node.probed(TestNode.onlyOfType(SendProbe.class, actions).server(), held);
            assertEquals(
                    held == 0 ? 1 : 0,
                    TestNode.ofType(SendAttempt.class, actions).size(),
                    "held " + held);
        }
    }

    /** Taken for one core, a server of three counted as full with one request. */
    @Test
    void aServersCoresAreLearntFromItsReports() {
        for (boolean queues : new boolean[] {false, true}) {
            TestNode node = new TestNode(probing().build());
            node.servers(1);
            LoadReport busy =
                    queues
                            ? new LoadReport(5, 2, 1, Double.NaN, Double.NaN)
                            : new LoadReport(1.5, Double.NaN, 0.5, Double.NaN, Double.NaN);
            // Sooner the part that is busy is not believed: it lags behind a burst on a fleet at
            // rest.
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
            assertTrue(sent >= 30, "two held on three cores leave one free: sent " + sent);
        }
    }

    /**
     * Without loads in the probes' answers no server was known; all was refused beside idle ones.
     */
    @Test
    void whereReportsDryUpTheRotationGoesOnByItself() {
        TestNode node = warm(probing(), 3, 30, 50 * MS);
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

    /** Queues that still fitted the aim grew until every server of a fleet choked. */
    @Test
    void nothingIsSentBehindMoreThanOneAndAHalfTurns() {
        for (int held : new int[] {1, 2}) {
            TestNode node = warm(probing(), 1, 30, 10 * MS);
            node.now += 1_000 * MS;
            node.arrive("q");
            assertEquals(
                    held == 1 ? 1 : 0,
                    TestNode.ofType(SendAttempt.class, node.probed(1, held)).size(),
                    "held " + held);
        }
    }

    /**
     * A free core is no reason where the attempt would run on past its aim, unless nothing else is
     * out.
     */
    @Test
    void aFreeCoreIsNotTakenForWhatWouldEndLate() {
        TestNode node = warm(late(0.5), 3, 60, 900 * MS);
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
     * Requests of a key at many servers had all of its work at each; and the rotation must stay
     * even.
     */
    @Test
    void aKeyComesToOneServerAndAllServersKeepTheirTurns() {
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
            int[] turns = new int[5];
            int together = 0;
            for (int[] of : sent) {
                together += Arrays.stream(of).max().orElse(0);
                for (int server = 1; server <= 4; server++) {
                    turns[server] += of[server];
                }
            }
            // A key's most used server: a third of its requests by chance.
            assertTrue(
                    warm ? together > 180 : together < 160, "at their keys' servers: " + together);
            for (int s = 1; s <= 4; s++) {
                assertTrue(turns[s] >= 80 && turns[s] <= 120, "turns of " + s + ": " + turns[s]);
            }
        }
    }

    /**
     * With a backlog each held request had the subset walked twice at each event: 15 us a request.
     */
    @Test
    void behindABusyFleetOnlyTheHeadOfTheLineSounds() {
        TestNode node = warm(probing(), 2, 30, 100 * MS);
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
     * Looking on for an emptier server used up the time in which a request still fitted anywhere.
     */
    @Test
    void aRequestThatHasLookedForLongSettlesForAServerThatItFitsAt() {
        for (boolean longAgo : new boolean[] {false, true}) {
            TestNode node = warm(probing(), 3, 30, 50 * MS);
            node.now += 1_000 * MS;
            SendProbe first = TestNode.onlyOfType(SendProbe.class, node.arrive("q"));
            node.now += longAgo ? 101 * MS : MS;
            List<DecisionAction> actions = node.probed(first.server(), 1);
            int sent = TestNode.ofType(SendAttempt.class, actions).size();
            assertEquals(longAgo ? 1 : 0, sent, "after a tenth of its aim: " + longAgo);
        }
    }

    /** What servers report busy lags: three cores were taken for thirty while a fleet woke. */
    @Test
    void coresAreNotLearntWhileTheFleetWakes() {
        TestNode node = new TestNode(probing().build());
        node.servers(1);
        for (int i = 0; i < 40; i++) {
            node.deliver(
                    new ProbeEnded(
                            1, AttemptResult.SERVED, MS, new LoadReport(9, Double.NaN, 0.3, 0, 0)));
        }
        for (int i = 0; i < 4; i++) {
            probedServe(node, "w" + i, 10 * MS);
        }
        node.now += 1_000 * MS;
        node.arrive("q");
        assertEquals(
                0,
                TestNode.ofType(SendAttempt.class, node.probed(1, 4)).size(),
                "sent behind four");
    }

    /** An eighth of the answers lost for good made every server too slow for any request. */
    @Test
    void lostAnswersDoNotMakeTheFleetSlow() {
        TestNode node = warm(probing(), 2, 60, 100 * MS);
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
                "behind one there is time enough");
    }

    /**
     * A quiet node has one attempt at a server: while answers are lost it waited for each until the
     * end.
     */
    @Test
    void whileAnswersAreLostAnOverdueAttemptIsTriedAnew() {
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
     * Connections broken at random had every server barred and then held to a cold one's budget.
     */
    @Test
    void oneBreakIsChanceAndTwoInARowAreADeadServer() {
        for (int breaks = 1; breaks <= 2; breaks++) {
            TestSettings settings = probing();
            settings.classes =
                    List.of(
                            TestSettings.newRequestClass(
                                    Idempotency.NON_IDEMPOTENT, DeduplicationScope.FLEET));
            TestNode node = warm(settings, 1, 30, 50 * MS);
            for (int i = 0; i < breaks; i++) {
                assertEquals(1, probedSend(node, "broken" + i));
                node.now += 10 * MS;
                node.endAttempt("broken" + i, 0, 1, AttemptResult.RESET, 10 * MS);
            }
            List<DecisionAction> next = node.arrive("q");
            boolean used =
                    !TestNode.ofType(SendProbe.class, next).isEmpty()
                            || !TestNode.ofType(SendAttempt.class, next).isEmpty();
            assertEquals(breaks == 1, used, "after " + breaks);
        }
    }

    /**
     * Guards against a fleet refused to death: where a third of all connections failed, their
     * further tries used up the budget, and each server was taken for one that died and came back
     * cold.
     */
    @Test
    void connectionsThatFailEverywhereSpendNoBudgetAndMakeNoServerCold() {
        TestNode node = warm(new TestSettings(), 8, 30, 50 * MS);
        int late = 0;
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
                late++;
                node.after(node.settings.requestClasses().get(0).deadline());
            } else {
                node.now += 50 * MS;
                node.endAttempt(id, attempt, send.server(), AttemptResult.SERVED, 50 * MS);
            }
        }
        assertTrue(
                TestNode.ofType(RejectRequest.class, node.allActions).isEmpty(),
                "refused for want of a budget");
        assertTrue(late < 10, late + " of 300 were held back");
    }

    /**
     * Guards against a fleet that stands as cold by chance: where one attempt in seven fails, two
     * in a row come at each server every few seconds, and each was held to a cold one's budget in
     * turn.
     */
    @Test
    void twoFailuresInARowMakeNoServerColdWhereManyFail() {
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
        assertTrue(sends >= 40, sends + " of 400, an eighth is 50: held to a cold one's budget");
    }

    /** Guards against a dead server that is not known as cold when it is back. */
    @Test
    void aServerThatAloneCannotBeReachedIsColdWhenItIsBack() {
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

    /** Sends a request, its server idle by its probe, and returns the server without an answer. */
    private static long probedSend(TestNode node, String id) {
        List<DecisionAction> actions = node.arrive(id);
        while (TestNode.ofType(SendAttempt.class, actions).isEmpty()) {
            actions = node.probed(TestNode.onlyOfType(SendProbe.class, actions).server(), 0);
        }
        return TestNode.onlyOfType(SendAttempt.class, actions).server();
    }

    // ---- Silence
    // ------------------------------------------------------------------------------------

    @Test
    void oneCostlyRequestDoesNotMakeAServerSilent() {
        TestNode node = warm(new TestSettings(), 2, 30, 50 * MS);
        node.arrive("costly");
        int cancels = 0;
        for (int i = 0; i < 30; i++) {
            cancels += TestNode.ofType(CancelAttempt.class, node.after(25 * MS)).size();
        }
        assertEquals(0, cancels);
    }

    @Test
    void whatIsOutAtASilentServerIsTriedElsewhere() {
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
        assertTrue(stuck.size() >= 2, "out at the silent server: " + stuck);
        Set<String> cancelled = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            TestNode.ofType(CancelAttempt.class, node.after(25 * MS))
                    .forEach(c -> cancelled.add(c.id()));
        }
        assertTrue(
                cancelled.containsAll(stuck.stream().map(SendAttempt::id).toList()),
                "cancelled " + cancelled);
        for (SendAttempt s : stuck) {
            SendAttempt again =
                    TestNode.onlyOfType(
                            SendAttempt.class,
                            node.endAttempt(s.id(), 0, silent, AttemptResult.CANCELLED, 500 * MS));
            assertNotEquals(silent, again.server());
        }
    }

    @Test
    void aServerThatOnlyAnswersErrorsDrawsFewSends() {
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

    // ---- Reported loads
    // -----------------------------------------------------------------------------

    @Test
    void aServerReportedBusyIsSkippedAndAnIdleOneTaken() {
        TestNode node = warm(probing(), 3, 30, 50 * MS);
        node.now += 1_000 * MS;
        SendProbe first = TestNode.onlyOfType(SendProbe.class, node.arrive("q"));
        SendProbe second = TestNode.onlyOfType(SendProbe.class, node.probed(first.server(), 2));
        assertNotEquals(first.server(), second.server());
        SendAttempt send = TestNode.onlyOfType(SendAttempt.class, node.probed(second.server(), 0));
        assertEquals(second.server(), send.server());
    }

    @Test
    void aServerThatDoesNotAnswerAProbeIsPassedOver() {
        TestNode node = warm(probing(), 3, 30, 50 * MS);
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
    void oneProbeThatFailedBarsNoServerAndTwoDo() {
        TestNode node = warm(probing(), 1, 30, 50 * MS);
        node.now += 1_000 * MS;
        long server = TestNode.onlyOfType(SendProbe.class, node.arrive("q")).server();
        ProbeEnded failed = new ProbeEnded(server, AttemptResult.ERROR, MS, LoadReport.NONE);
        assertEquals(server, TestNode.onlyOfType(SendProbe.class, node.deliver(failed)).server());
        assertEquals(List.of(), TestNode.ofType(SendProbe.class, node.deliver(failed)));
    }

    @Test
    void aCommonSlowSpellStopsQueueingBehindOthers() {
        TestNode node = warm(probing(), 2, 40, 100 * MS);
        for (int i = 0; i < 20; i++) {
            probedServe(node, "slow" + i, 700 * MS);
        }
        node.now += 1_000 * MS;
        List<DecisionAction> actions = node.arrive("q");
        for (int i = 0; i < 2; i++) {
            actions = node.probed(TestNode.onlyOfType(SendProbe.class, actions).server(), 1);
        }
        assertEquals(
                0,
                TestNode.ofType(SendAttempt.class, actions).size(),
                "700 ms behind 700 ms do not fit in 1 s");
    }

    // ---- The rules by example
    // -----------------------------------------------------------------------

    @Test
    void anUnsafeRequestThatMayHaveRunFailsAndOneThatNeverRanIsSentAgain() {
        TestSettings settings = new TestSettings();
        settings.classes =
                List.of(
                        TestSettings.newRequestClass(
                                Idempotency.NON_IDEMPOTENT, DeduplicationScope.FLEET));
        TestNode node = warm(settings, 3, 10, 50 * MS);
        SendAttempt first = TestNode.onlyOfType(SendAttempt.class, node.arrive("a"));
        SendAttempt again =
                TestNode.onlyOfType(
                        SendAttempt.class,
                        node.endAttempt("a", 0, first.server(), AttemptResult.REJECTED, MS));
        assertNotEquals(first.server(), again.server());
        assertEquals(
                1,
                TestNode.ofType(
                                FailRequest.class,
                                node.endAttempt("a", 1, again.server(), AttemptResult.RESET, MS))
                        .size());
    }

    @Test
    void aKeyedRequestStaysInItsZoneAndItsWindow() {
        TestSettings settings = new TestSettings();
        settings.classes =
                List.of(TestSettings.newRequestClass(Idempotency.KEYED, DeduplicationScope.ZONE));
        TestNode node = warm(settings, 4, 10, 50 * MS);
        SendAttempt first = TestNode.onlyOfType(SendAttempt.class, node.arrive("a"));
        SendAttempt again =
                TestNode.onlyOfType(
                        SendAttempt.class,
                        node.endAttempt("a", 0, first.server(), AttemptResult.ERROR, MS));
        assertEquals(first.server() % 2, again.server() % 2);
        node.now += 800 * MS;
        assertEquals(
                1,
                TestNode.ofType(
                                FailRequest.class,
                                node.endAttempt("a", 1, again.server(), AttemptResult.ERROR, MS))
                        .size());
    }

    @Test
    void nothingGoesToAServerThatDrainsOrIsGone() {
        TestNode node = warm(new TestSettings(), 3, 10, 50 * MS);
        node.updateServer(1, EndpointState.DRAINING, 0);
        node.updateServer(2, EndpointState.REMOVED, 0);
        for (int i = 0; i < 10; i++) {
            assertEquals(3, node.serve("q" + i, 10 * MS));
        }
    }

    @Test
    void aRestartedServerIsSentItsPartOfTheColdBudget() {
        TestSettings settings = probing();
        settings.nodes = 3;
        TestNode node = warm(settings, 2, 40, 100 * MS);
        node.updateServer(1, EndpointState.UP, node.now);
        int sent = 0;
        long end = node.now + 1_000 * MS;
        for (int i = 0; node.now < end; i++) {
            sent += probedServe(node, "q" + i, 100 * MS) == 1 ? 1 : 0;
        }
        // 3 x 0.2 to 0.3 of 10 a second, in three parts, is under one: one send is always allowed.
        assertTrue(sent <= 1, "sent to the cold server: " + sent);
    }

    @Test
    void aColdServersOwnAnswersTellItsSpeed() {
        int[] sent = new int[2];
        for (int quick = 0; quick < 2; quick++) {
            TestNode node = warm(probing(), 2, 60, 100 * MS);
            node.now += 2_000 * MS;
            node.updateServer(1, EndpointState.UP, node.now);
            // By age alone the server can do a fifth to two fifths of a warm one's work.
            node.now += 3_000 * MS;
            for (int i = 0; i < 40; i++) {
                sent[quick] +=
                        coldServe(node, "q" + i, quick == 1 ? 100 * MS : 450 * MS) == 1 ? 1 : 0;
                node.now += 100 * MS;
            }
        }
        assertTrue(sent[1] > sent[0], "slow when cold " + sent[0] + ", quick " + sent[1]);
    }

    /**
     * Serves a request with the other server busy and little time left; returns the server, or 0.
     */
    private static long coldServe(TestNode node, String id, long elapsed) {
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
    void nothingIsSentAfterTheClientHasGone() {
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
    void noMoreAttemptsAreMadeThanTheSiteAllows() {
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
    void theTimerIsSetForTheEndOfAHeldRequest() {
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
                "answered " + (node.now - giveUpAt) + " after the end");
    }

    // ---- The server list
    // ----------------------------------------------------------------------------

    @Test
    void aFailedListCallIsRepeatedAfterAGrowingWait() {
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
        assertTrue(waits.get(0) <= 210 * MS, "first asked after " + waits);
        assertTrue(waits.get(1) >= 250 * MS && waits.get(3) > waits.get(1), "waits " + waits);
    }

    @Test
    void withoutServersEveryRequestStillGetsItsAnswer() {
        TestNode node = new TestNode(new TestSettings().build());
        node.servers(0);
        node.arrive("a");
        node.after(999 * MS);
        assertEquals(1, TestNode.ofType(RejectRequest.class, node.allActions).size());
    }
}
