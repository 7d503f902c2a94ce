// SPDX-License-Identifier: Apache-2.0
package ottergauge;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ottergauge.DecisionApi.Action;
import ottergauge.DecisionApi.AttemptEnded;
import ottergauge.DecisionApi.Cancel;
import ottergauge.DecisionApi.ClientGone;
import ottergauge.DecisionApi.Discovery;
import ottergauge.DecisionApi.Fail;
import ottergauge.DecisionApi.Group;
import ottergauge.DecisionApi.ListFailed;
import ottergauge.DecisionApi.LoadReport;
import ottergauge.DecisionApi.Probe;
import ottergauge.DecisionApi.ProbeEnded;
import ottergauge.DecisionApi.Refuse;
import ottergauge.DecisionApi.Repeat;
import ottergauge.DecisionApi.Result;
import ottergauge.DecisionApi.Send;
import ottergauge.DecisionApi.SetTimer;
import ottergauge.DecisionApi.ServerState;
import ottergauge.DecisionApi.Subscribe;
import ottergauge.DecisionApi.Tenant;

/** Each departure from the design, and each failure that was found, by example. */
class DeparturesTest {
    private static final long MS = Node.MS;

    /** Serves requests one by one until rooms and means have settled. */
    private static Node warm(TestSettings settings, int servers, int requests, long elapsed) {
        Node node = new Node(settings.build());
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

    private static long probedServe(Node node, String id, long elapsed) {
        List<Action> actions = node.arrive(id);
        while (Node.those(Send.class, actions).isEmpty()) {
            actions = node.probed(Node.only(Probe.class, actions).server(), 0);
        }
        Send send = Node.only(Send.class, actions);
        node.now += elapsed;
        node.on(new AttemptEnded(id, 0, send.server(), Result.SERVED, elapsed, true,
            new LoadReport(1, 0, 0.5, Double.NaN, Double.NaN)));
        return send.server();
    }

    private static List<Send> burst(Node node, String prefix, int requests) {
        List<Send> sends = new ArrayList<>();
        for (int i = 0; i < requests; i++) {
            sends.addAll(Node.those(Send.class, node.arrive(prefix + i)));
        }
        return sends;
    }

    private static TestSettings probing() {
        TestSettings settings = new TestSettings();
        settings.probes = true;
        return settings;
    }

    // ---- Room ---------------------------------------------------------------------------------------

    @Test
    void attemptsThatRunOutOfTimeShrinkTheRoom() {
        int before = burst(warm(new TestSettings(), 2, 60, 200 * MS), "a", 60).size();
        Node node = warm(new TestSettings(), 2, 60, 200 * MS);
        for (int i = 0; i < 20; i++) {
            Send send = Node.only(Send.class, node.arrive("t" + i));
            node.now += 998 * MS;
            node.ended("t" + i, 0, send.server(), Result.TIMED_OUT, 998 * MS);
            node.after(4_000 * MS);
        }
        int after = burst(node, "b", 60).size();
        assertTrue(after > 0 && before >= 2 * after, "at once before " + before + ", after " + after);
    }

    @Test
    void roomUnderOneIsKeptByPauses() {
        TestSettings settings = new TestSettings();
        settings.nodes = 8;
        Node node = new Node(settings.build());
        node.servers(1);
        long server = Node.only(Send.class, node.arrive("a")).server();
        node.now += 900 * MS;
        node.ended("a", 0, server, Result.SERVED, 900 * MS);
        assertEquals(0, Node.those(Send.class, node.arrive("b")).size(), "the server rests");
        boolean sent = false;
        for (int i = 0; i < 800 && !sent; i++) {
            sent = !Node.those(Send.class, node.after(25 * MS)).isEmpty()
                || !Node.those(Send.class, node.arrive("c" + i)).isEmpty();
        }
        assertTrue(sent, "and is used again");
    }

    @Test
    void slowAnswersOfAServerWithIdleCoresDoNotShrinkItsRoom() {
        int[] sent = new int[2];
        for (int busy = 0; busy < 2; busy++) {
            Node node = warm(new TestSettings(), 1, 30, 50 * MS);
            for (int i = 0; i < 20; i++) {
                Send send = Node.only(Send.class, node.arrive("s" + i));
                node.now += 400 * MS;
                node.on(new AttemptEnded("s" + i, 0, send.server(), Result.SERVED, 400 * MS, true,
                    new LoadReport(Double.NaN, Double.NaN, busy == 0 ? 0.3 : 1, Double.NaN, Double.NaN)));
                node.after(2_000 * MS);
            }
            sent[busy] = burst(node, "x", 40).size();
        }
        assertTrue(sent[0] > sent[1], "idle cores " + sent[0] + ", busy cores " + sent[1]);
    }

    // ---- Giving up ----------------------------------------------------------------------------------

    @Test
    void aClassIsNotLockedOutByASpellOfTimeOuts() {
        Node node = warm(new TestSettings(), 2, 20, 50 * MS);
        for (int i = 0; i < 60; i++) {
            List<Send> sends = Node.those(Send.class, node.arrive("t" + i));
            node.now += 998 * MS;
            for (Send s : sends) {
                node.ended(s.id(), 0, s.server(), Result.TIMED_OUT, 998 * MS);
            }
            node.after(4_000 * MS);
        }
        List<Action> actions = node.arrive("fresh");
        assertEquals(0, Node.those(Refuse.class, actions).size(), "refused on arrival");
    }

    @Test
    void whatCanNoLongerBeInTimeIsAnsweredAtOnce() {
        Node node = warm(new TestSettings(), 1, 30, 200 * MS);
        burst(node, "a", 50);
        long gaveUpAt = 0;
        long start = node.now;
        while (gaveUpAt == 0 && node.now < start + 2_000 * MS) {
            if (!Node.those(Refuse.class, node.after(5 * MS)).isEmpty()) {
                gaveUpAt = node.now;
            }
        }
        assertTrue(gaveUpAt > 0 && gaveUpAt < start + 998 * MS, "given up after " + (gaveUpAt - start));
    }

    @Test
    void whatTheBacklogCannotReachInTimeIsRefusedOnArrival() {
        Node node = warm(new TestSettings(), 1, 40, 50 * MS);
        List<Send> out = new ArrayList<>(burst(node, "a", 20));
        for (int i = 0; i < 8; i++) {
            Send next = out.remove(0);
            node.now += 100 * MS;
            out.addAll(Node.those(Send.class, node.ended(next.id(), 0, 1, Result.SERVED, 100 * MS)));
        }
        int refused = 0;
        for (int i = 0; i < 40; i++) {
            refused += Node.those(Refuse.class, node.arrive("b" + i)).size();
        }
        // At a send each 100 ms about nine of those that come now can be reached within their second.
        assertTrue(refused >= 25 && refused <= 38, "refused on arrival: " + refused);
    }

    @Test
    void aRepeatIsJudgedByTheAimOfItsFirstTry() {
        Node node = warm(new TestSettings(), 2, 10, 50 * MS);
        // 900 ms of the 2 s are left: the first try began 1.1 s ago, past its aim of 1 s.
        Refuse refuse = Node.only(Refuse.class, node.arrive("late", 0, node.now + 900 * MS, true));
        assertEquals(600 * MS, refuse.retryAfter());
        assertEquals(1, Node.those(Send.class, node.arrive("soon", 0, node.now + 1_900 * MS, true)).size());
    }

    @Test
    void anUnmarkedRepeatShowsByItsShorterTime() {
        TestSettings settings = new TestSettings();
        settings.repeatsMarked = false;
        Node node = warm(settings, 2, 10, 50 * MS);
        // Nothing was given up on: these are first tries of clients that will not wait for long.
        for (int i = 0; i < 2; i++) {
            assertEquals(1, Node.those(Send.class,
                node.arrive("short" + i, 0, node.now + 900 * MS, false)).size());
            node.on(new ClientGone("short" + i));
        }
        // Two were: one that comes with less time left has most likely been here before.
        assertEquals(1, Node.those(Refuse.class, node.arrive("late", 0, node.now + 900 * MS, false)).size());
    }

    @Test
    void heldRequestsGoByWorthAndATenantsShare() {
        TestSettings settings = new TestSettings();
        settings.classes = List.of(TestSettings.type("cheap", Repeat.SAFE, Group.ALL, 1),
            TestSettings.type("dear", Repeat.SAFE, Group.ALL, 10));
        settings.tenants = List.of(new Tenant("t", 1, 1000));
        Node node = new Node(settings.build());
        node.servers(1);
        List<Send> out = burst(node, "a", 5);
        node.arrive("cheap");
        node.arrive("dear", 1, node.now + 2_000 * MS, false);
        node.now += 10 * MS;
        List<Action> next = node.ended(out.get(0).id(), 0, 1, Result.SERVED, 10 * MS);
        assertEquals("dear", Node.those(Send.class, next).get(0).id());
    }

    // ---- Silence ------------------------------------------------------------------------------------

    @Test
    void oneCostlyRequestDoesNotMakeAServerSilent() {
        Node node = warm(new TestSettings(), 2, 30, 50 * MS);
        node.arrive("costly");
        int cancels = 0;
        for (int i = 0; i < 30; i++) {
            cancels += Node.those(Cancel.class, node.after(25 * MS)).size();
        }
        assertEquals(0, cancels);
    }

    @Test
    void whatIsOutAtASilentServerIsTriedElsewhere() {
        Node node = warm(new TestSettings(), 3, 60, 50 * MS);
        long silent = 2;
        List<Send> stuck = new ArrayList<>();
        for (Send s : burst(node, "q", 6)) {
            if (s.server() == silent) {
                stuck.add(s);
            } else {
                node.ended(s.id(), 0, s.server(), Result.SERVED, 50 * MS);
            }
        }
        assertTrue(stuck.size() >= 2, "out at the silent server: " + stuck);
        Set<String> cancelled = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            Node.those(Cancel.class, node.after(25 * MS)).forEach(c -> cancelled.add(c.id()));
        }
        assertTrue(cancelled.containsAll(stuck.stream().map(Send::id).toList()), "cancelled " + cancelled);
        for (Send s : stuck) {
            Send again = Node.only(Send.class, node.ended(s.id(), 0, silent, Result.CANCELLED, 500 * MS));
            assertNotEquals(silent, again.server());
        }
    }

    @Test
    void aServerThatOnlyAnswersErrorsDrawsFewSends() {
        for (boolean probes : new boolean[] {false, true}) {
            TestSettings settings = new TestSettings();
            settings.probes = probes;
            Node node = warm(settings, 4, 40, 50 * MS);
            int onFailing = 0;
            for (int i = 0; i < 400; i++) {
                List<Action> actions = node.arrive("e" + i);
                for (int attempt = 0; !actions.isEmpty(); ) {
                    List<Send> sends = Node.those(Send.class, actions);
                    if (sends.isEmpty()) {
                        List<Probe> asked = Node.those(Probe.class, actions);
                        actions = asked.isEmpty() ? List.of() : node.probed(asked.get(0).server(), 0);
                    } else if (sends.get(0).server() == 1) {
                        onFailing++;
                        node.now += 2 * MS;
                        actions = node.ended("e" + i, attempt++, 1, Result.ERROR, 2 * MS);
                    } else {
                        node.now += 50 * MS;
                        node.ended("e" + i, attempt, sends.get(0).server(), Result.SERVED, 50 * MS);
                        actions = List.of();
                    }
                }
            }
            assertTrue(onFailing >= 2 && onFailing <= 16, "sent to the failing server: " + onFailing);
        }
    }

    // ---- Reported loads -----------------------------------------------------------------------------

    @Test
    void aServerReportedBusyIsSkippedAndAnIdleOneTaken() {
        Node node = warm(probing(), 3, 30, 50 * MS);
        node.now += 1_000 * MS;
        Probe first = Node.only(Probe.class, node.arrive("q"));
        Probe second = Node.only(Probe.class, node.probed(first.server(), 2));
        assertNotEquals(first.server(), second.server());
        Send send = Node.only(Send.class, node.probed(second.server(), 0));
        assertEquals(second.server(), send.server());
    }

    @Test
    void aServerThatDoesNotAnswerAProbeIsPassedOver() {
        Node node = warm(probing(), 3, 30, 50 * MS);
        node.now += 1_000 * MS;
        Probe first = Node.only(Probe.class, node.arrive("q"));
        Probe second = Node.only(Probe.class, node.after(20 * MS));
        assertNotEquals(first.server(), second.server());
        node.on(new ProbeEnded(first.server(), Result.CONNECT_FAILED, 20 * MS, LoadReport.NONE));
        assertEquals(second.server(), Node.only(Send.class, node.probed(second.server(), 0)).server());
    }

    @Test
    void oneProbeThatFailedBarsNoServerAndTwoDo() {
        Node node = warm(probing(), 1, 30, 50 * MS);
        node.now += 1_000 * MS;
        long server = Node.only(Probe.class, node.arrive("q")).server();
        ProbeEnded failed = new ProbeEnded(server, Result.ERROR, MS, LoadReport.NONE);
        assertEquals(server, Node.only(Probe.class, node.on(failed)).server());
        assertEquals(List.of(), Node.those(Probe.class, node.on(failed)));
    }

    @Test
    void aCommonSlowSpellStopsQueueingBehindOthers() {
        Node node = warm(probing(), 2, 40, 100 * MS);
        for (int i = 0; i < 20; i++) {
            probedServe(node, "slow" + i, 700 * MS);
        }
        node.now += 1_000 * MS;
        List<Action> actions = node.arrive("q");
        for (int i = 0; i < 2; i++) {
            actions = node.probed(Node.only(Probe.class, actions).server(), 1);
        }
        assertEquals(0, Node.those(Send.class, actions).size(), "700 ms behind 700 ms do not fit in 1 s");
    }

    // ---- The rules by example -----------------------------------------------------------------------

    @Test
    void anUnsafeRequestThatMayHaveRunFailsAndOneThatNeverRanIsSentAgain() {
        TestSettings settings = new TestSettings();
        settings.classes = List.of(TestSettings.type(Repeat.UNSAFE, Group.ALL));
        Node node = warm(settings, 3, 10, 50 * MS);
        Send first = Node.only(Send.class, node.arrive("a"));
        Send again = Node.only(Send.class, node.ended("a", 0, first.server(), Result.REJECTED, MS));
        assertNotEquals(first.server(), again.server());
        assertEquals(1, Node.those(Fail.class, node.ended("a", 1, again.server(), Result.RESET, MS)).size());
    }

    @Test
    void aKeyedRequestStaysInItsZoneAndItsWindow() {
        TestSettings settings = new TestSettings();
        settings.classes = List.of(TestSettings.type(Repeat.KEYED, Group.ZONE));
        Node node = warm(settings, 4, 10, 50 * MS);
        Send first = Node.only(Send.class, node.arrive("a"));
        Send again = Node.only(Send.class, node.ended("a", 0, first.server(), Result.ERROR, MS));
        assertEquals(first.server() % 2, again.server() % 2);
        node.now += 800 * MS;
        assertEquals(1, Node.those(Fail.class, node.ended("a", 1, again.server(), Result.ERROR, MS)).size());
    }

    @Test
    void nothingGoesToAServerThatDrainsOrIsGone() {
        Node node = warm(new TestSettings(), 3, 10, 50 * MS);
        node.change(1, ServerState.DRAINING, 0);
        node.change(2, ServerState.GONE, 0);
        for (int i = 0; i < 10; i++) {
            assertEquals(3, node.serve("q" + i, 10 * MS));
        }
    }

    @Test
    void aRestartedServerIsSentItsPartOfTheColdBudget() {
        TestSettings settings = probing();
        settings.nodes = 3;
        Node node = warm(settings, 2, 40, 100 * MS);
        node.change(1, ServerState.UP, node.now);
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
            Node node = warm(probing(), 2, 60, 100 * MS);
            node.now += 2_000 * MS;
            node.change(1, ServerState.UP, node.now);
            // By age alone the server can do a fifth to two fifths of a warm one's work.
            node.now += 3_000 * MS;
            for (int i = 0; i < 40; i++) {
                sent[quick] += coldServe(node, "q" + i, quick == 1 ? 100 * MS : 450 * MS) == 1 ? 1 : 0;
                node.now += 100 * MS;
            }
        }
        assertTrue(sent[1] > sent[0], "slow when cold " + sent[0] + ", quick " + sent[1]);
    }

    /** Serves a request with the other server busy and little time left; returns the server, or 0. */
    private static long coldServe(Node node, String id, long elapsed) {
        List<Action> actions = node.arrive(id, 0, node.now + 1_500 * MS, true);
        while (Node.those(Send.class, actions).isEmpty()) {
            List<Probe> probes = Node.those(Probe.class, actions);
            if (probes.isEmpty()) {
                return 0;
            }
            actions = node.probed(probes.get(0).server(), probes.get(0).server() == 2 ? 3 : 0);
        }
        Send send = Node.only(Send.class, actions);
        node.now += elapsed;
        node.on(new AttemptEnded(id, 0, send.server(), Result.SERVED, elapsed, true,
            new LoadReport(1, 0, 0.5, Double.NaN, Double.NaN)));
        return send.server();
    }

    @Test
    void nothingIsSentAfterTheClientHasGone() {
        Node node = warm(new TestSettings(), 3, 10, 50 * MS);
        Send send = Node.only(Send.class, node.arrive("a"));
        node.on(new ClientGone("a"));
        List<Action> later = node.ended("a", 0, send.server(), Result.RESET, 50 * MS);
        assertEquals(0, Node.those(Send.class, later).size() + Node.those(Refuse.class, later).size());
    }

    @Test
    void noMoreAttemptsAreMadeThanTheSiteAllows() {
        TestSettings settings = new TestSettings();
        settings.maxAttempts = 2;
        Node node = warm(settings, 4, 10, 50 * MS);
        Send first = Node.only(Send.class, node.arrive("a"));
        Send second = Node.only(Send.class, node.ended("a", 0, first.server(), Result.REJECTED, MS));
        List<Action> last = node.ended("a", 1, second.server(), Result.REJECTED, MS);
        assertEquals(1, Node.those(Refuse.class, last).size());
    }

    @Test
    void theTimerIsSetForTheEndOfAHeldRequest() {
        Node node = new Node(new TestSettings().build());
        node.servers(0);
        node.now += 7 * MS;
        long giveUpAt = node.now + 601 * MS;
        List<Action> actions = node.arrive("a", 0, giveUpAt, false);
        while (Node.those(Refuse.class, actions).isEmpty()) {
            List<SetTimer> timers = Node.those(SetTimer.class, node.all);
            actions = node.after(timers.get(timers.size() - 1).delay());
        }
        assertTrue(node.now <= giveUpAt + 5 * MS, "answered " + (node.now - giveUpAt) + " after the end");
    }

    // ---- The server list ----------------------------------------------------------------------------

    @Test
    void aFailedListCallIsRepeatedAfterAGrowingWait() {
        TestSettings settings = new TestSettings();
        settings.discovery = Discovery.ON_REQUEST;
        Node node = new Node(settings.build());
        node.servers(1);
        List<Long> waits = new ArrayList<>();
        for (int call = 0; call < 4; call++) {
            long from = node.now;
            boolean asked = false;
            while (!asked) {
                asked = !Node.those(Subscribe.class, node.after(10 * MS)).isEmpty();
            }
            waits.add(node.now - from);
            node.on(new ListFailed());
        }
        assertTrue(waits.get(0) <= 210 * MS, "first asked after " + waits);
        assertTrue(waits.get(1) >= 250 * MS && waits.get(3) > waits.get(1), "waits " + waits);
    }

    @Test
    void withoutServersEveryRequestStillGetsItsAnswer() {
        Node node = new Node(new TestSettings().build());
        node.servers(0);
        node.arrive("a");
        node.after(999 * MS);
        assertEquals(1, Node.those(Refuse.class, node.all).size());
    }
}
