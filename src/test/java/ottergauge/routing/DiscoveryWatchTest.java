// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.endpointJson;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.ProtocolException;
import ottergauge.protocol.TestConfig;
import ottergauge.routing.Effect.CancelPoll;
import ottergauge.routing.Effect.PollDiscovery;
import ottergauge.routing.Effect.StartTimer;

/**
 * A watch that falls silent, and one that can't be opened. What is missed counts as told six
 * seconds after discovery had it and could be reached, so by then the list has to be there,
 * whatever the other nodes ask.
 */
class DiscoveryWatchTest {

    private static final long SECOND = 1_000_000;
    private static final long COUNTS_AS_TOLD = 6 * SECOND;
    private static final EndpointList NOTHING = new EndpointList(41, false, List.of());
    private static final EndpointList DRAINS = list(42, false, "terminating");

    private final List<Effect> effects = new ArrayList<>();
    private final DiscoveryWatch watch = new DiscoveryWatch(new TestConfig().build(), effects::add);

    private static EndpointList list(long seq, boolean whole, String health) {
        try {
            return EndpointList.read(
                    TestConfig.list(seq, whole, endpointJson("s-1", "10.0.0.1:80", health))
                            .getBytes(UTF_8));
        } catch (ProtocolException e) {
            throw new IllegalStateException(e);
        }
    }

    private <E> E expect(Class<E> kind) {
        E found =
                effects.stream().filter(kind::isInstance).map(kind::cast).findFirst().orElseThrow();
        effects.remove(found);
        return found;
    }

    private PollDiscovery watching() {
        watch.begin(0);
        PollDiscovery first = expect(PollDiscovery.class);
        assertTrue(first.maxWaitMicros() < SECOND, "the first answer says that the watch is alive");
        effects.clear();
        watch.answerAccepted(SECOND, first.poll(), NOTHING);
        return expect(PollDiscovery.class);
    }

    /**
     * Guards against requests to servers that leave: noticed when it counted as told, it was too
     * late.
     */
    @Test
    void silentWatch_isReopenedAtOnceSoonAfterItsWait() {
        PollDiscovery silent = watching();
        StartTimer timer = expect(StartTimer.class);
        assertTrue(
                timer.delayMicros() <= COUNTS_AS_TOLD / 2, "noticed after " + timer.delayMicros());
        watch.pollTimedOut(SECOND + timer.delayMicros(), silent.poll());
        PollDiscovery again = expect(PollDiscovery.class);
        assertEquals(41, again.afterVersion());
        assertTrue(
                effects.stream().noneMatch(CancelPoll.class::isInstance),
                "the old call is still read");
        assertTrue(watch.accepts(again.poll(), DRAINS));
        assertTrue(watch.answerAccepted(14 * SECOND, again.poll(), DRAINS).isPresent());
        assertEquals(silent.poll(), expect(CancelPoll.class).poll());
    }

    /**
     * Guards against an answer that counts as told and is dropped, since its call was given up
     * meanwhile.
     */
    @Test
    void lateAnswerOfASilentWatch_countsUntilTheNextAnswer() {
        PollDiscovery silent = watching();
        watch.pollTimedOut(12 * SECOND, silent.poll());
        effects.clear();
        PollDiscovery unused = new PollDiscovery(silent.poll() + 1, silent.address(), 41, 0);
        assertTrue(watch.accepts(silent.poll(), DRAINS));
        assertTrue(watch.answerAccepted(12 * SECOND, silent.poll(), DRAINS).isPresent());
        assertTrue(effects.isEmpty(), "the watch goes on with the newer call alone: " + effects);
        assertFalse(watch.accepts(silent.poll(), list(43, false, "in_service")), "answered twice");
        // What the newer call brings was known before, or is newer still.
        assertFalse(watch.accepts(unused.poll(), NOTHING), "an old word would undo a newer one");
        assertTrue(watch.accepts(unused.poll(), DRAINS));
        watch.answerAccepted(13 * SECOND, unused.poll(), DRAINS);
        assertEquals(42, expect(PollDiscovery.class).afterVersion());
    }

    /**
     * Guards against an answer that counts as told and is dropped: it may come to a call given up
     * on.
     */
    @Test
    void unansweredFirstPoll_isReadDuringTheBackoff() {
        watch.begin(0);
        PollDiscovery first = expect(PollDiscovery.class);
        watch.pollTimedOut(3 * SECOND, first.poll());
        assertTrue(
                effects.stream().noneMatch(PollDiscovery.class::isInstance), "asked with no pause");
        StartTimer pause =
                effects.stream()
                        .filter(StartTimer.class::isInstance)
                        .map(StartTimer.class::cast)
                        .filter(timer -> timer.timer() instanceof Timer.NextPoll)
                        .findFirst()
                        .orElseThrow();
        assertTrue(pause.delayMicros() <= SECOND / 2, "paused for " + pause.delayMicros());
        assertTrue(watch.accepts(first.poll(), DRAINS));
        watch.resume(4 * SECOND, first.poll());
        PollDiscovery second = expect(PollDiscovery.class);
        watch.pollTimedOut(7 * SECOND, second.poll());
        assertEquals(first.poll(), expect(CancelPoll.class).poll(), "more calls are read than two");
    }

    @Test
    void silentPollThatEndsLater_isNoFailureOfTheWatch() {
        PollDiscovery silent = watching();
        watch.pollTimedOut(12 * SECOND, silent.poll());
        PollDiscovery again = expect(PollDiscovery.class);
        effects.clear();
        watch.pollFailed(12 * SECOND, silent.poll());
        assertTrue(effects.isEmpty());
        watch.pollFailed(12 * SECOND, again.poll());
        assertTrue(expect(StartTimer.class).timer() instanceof Timer.NextPoll);
    }

    /** Guards against a pause in which nothing is heard where the watch was open until now. */
    @Test
    void brokenWatch_isReopenedAtOnce() {
        PollDiscovery broken = watching();
        watch.pollFailed(2 * SECOND, broken.poll());
        assertEquals(41, expect(PollDiscovery.class).afterVersion());
    }

    /**
     * Guards against a node that waits for news of versions which discovery, begun anew, never
     * reaches.
     */
    @Test
    void restartedVersions_arePolledForTheCompleteList() {
        PollDiscovery call = watching();
        EndpointList lower = new EndpointList(3, false, List.of());
        assertFalse(watch.accepts(call.poll(), lower));
        effects.clear();
        watch.answerIgnored(2 * SECOND, call.poll(), lower);
        PollDiscovery whole = expect(PollDiscovery.class);
        assertEquals(-1, whole.afterVersion());
        assertFalse(
                watch.accepts(whole.poll(), lower), "changes where the whole list was asked for");
        assertTrue(watch.accepts(whole.poll(), list(3, true, "in_service")));
    }

    /** Guards against an older whole list that undoes what a call beside it has brought. */
    @Test
    void olderAnswer_isIgnoredAndTheWatchGoesOn() {
        PollDiscovery silent = watching();
        watch.pollTimedOut(3 * SECOND, silent.poll());
        PollDiscovery again = expect(PollDiscovery.class);
        assertTrue(watch.accepts(silent.poll(), DRAINS));
        watch.answerAccepted(3 * SECOND, silent.poll(), DRAINS);
        EndpointList old = list(41, true, "in_service");
        assertFalse(watch.accepts(again.poll(), old));
        effects.clear();
        watch.answerIgnored(4 * SECOND, again.poll(), old);
        assertEquals(42, expect(PollDiscovery.class).afterVersion());
    }

    /**
     * Guards against a list that can't be taken and is sent whole about once a second, for ever.
     */
    @Test
    void listThatIsAlwaysRejected_isPolledLessAndLessOften() {
        watch.begin(0);
        long now = 0;
        List<Long> pauses = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            PollDiscovery call = expect(PollDiscovery.class);
            effects.clear();
            watch.listRejected(now, call.poll());
            StartTimer pause = expect(StartTimer.class);
            assertEquals(call.poll(), ((Timer.NextPoll) pause.timer()).afterPoll());
            pauses.add(pause.delayMicros());
            now += pause.delayMicros();
            watch.resume(now, call.poll());
        }
        assertTrue(
                pauses.subList(0, 3).stream().allMatch(pause -> pause < 2 * SECOND),
                "spoilt by chance it is sound the next time: " + pauses);
        assertTrue(pauses.get(3) >= 3 * SECOND, pauses.toString());
        assertTrue(
                pauses.subList(10, 20).stream().allMatch(pause -> pause >= 100 * SECOND),
                pauses.toString());
        assertTrue(pauses.stream().allMatch(pause -> pause <= 400 * SECOND), pauses.toString());
        assertFalse(watch.isStale(now), "the list before stays in force");
    }

    @Test
    void acceptedList_resetsTheCountOfRejections() {
        PollDiscovery call = watching();
        for (int i = 0; i < 6; i++) {
            effects.clear();
            watch.listRejected(2 * SECOND, call.poll());
            watch.resume(3 * SECOND, call.poll());
            call = expect(PollDiscovery.class);
        }
        watch.answerAccepted(4 * SECOND, call.poll(), DRAINS);
        PollDiscovery next = expect(PollDiscovery.class);
        effects.clear();
        watch.listRejected(5 * SECOND, next.poll());
        assertEquals(
                42,
                expect(PollDiscovery.class).afterVersion(),
                "a watch that breaks is opened anew at once");
    }

    private record Asked(int node, long at, PollDiscovery call) {}

    /**
     * All watches of a fleet fall silent at one moment, soon after the same change woke them all;
     * discovery takes this long for one call of every node, one by one, and turns away who would
     * wait for over 2 s.
     */
    @ParameterizedTest
    @CsvSource({"30, 5000", "100, 5000", "120, 5000"})
    void nodesThatLoseTheirWatchesTogether_areAllNotifiedInTime(int nodes, long allCallsMs) {
        long turn = allCallsMs * 1000 / nodes;
        PriorityQueue<Asked> asked = new PriorityQueue<>(Comparator.comparingLong(Asked::at));
        List<List<Effect>> told = new ArrayList<>();
        List<DiscoveryWatch> watches = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            List<Effect> own = new ArrayList<>();
            DiscoveryWatch each = new DiscoveryWatch(seeded(i), own::add);
            watches.add(each);
            told.add(own);
            each.begin(0);
            each.answerAccepted(0, 1, NOTHING);
            long noticed = lastTimer(own);
            each.pollTimedOut(noticed, last(own).poll());
            asked.add(new Asked(i, noticed, last(own)));
        }
        long free = 0;
        int answered = 0;
        while (!asked.isEmpty()) {
            Asked next = asked.poll();
            if (next.call == null) {
                watches.get(next.node).resume(next.at, last(told.get(next.node)).poll());
                asked.add(new Asked(next.node, next.at, last(told.get(next.node))));
            } else if (free > next.at + 2 * SECOND - turn) {
                watches.get(next.node).pollFailed(next.at, next.call.poll());
                asked.add(new Asked(next.node, next.at + lastTimer(told.get(next.node)), null));
            } else {
                free = Math.max(free, next.at) + turn;
                answered++;
            }
        }
        assertEquals(nodes, answered);
        assertTrue(free <= COUNTS_AS_TOLD, "the last one is told after " + free);
    }

    private static long lastTimer(List<Effect> effects) {
        return effects.stream()
                .filter(StartTimer.class::isInstance)
                .map(StartTimer.class::cast)
                .reduce((first, last) -> last)
                .orElseThrow()
                .delayMicros();
    }

    private static PollDiscovery last(List<Effect> effects) {
        return effects.stream()
                .filter(PollDiscovery.class::isInstance)
                .map(PollDiscovery.class::cast)
                .reduce((first, last) -> last)
                .orElseThrow();
    }

    private static NodeConfig seeded(int seed) {
        try {
            return NodeConfig.read(
                    new TestConfig()
                            .json()
                            .replace(
                                    "8c1f30d27a5be964",
                                    Long.toHexString(0x9e3779b97f4a7c15L * (seed + 1)))
                            .getBytes(UTF_8));
        } catch (ProtocolException e) {
            throw new IllegalStateException(e);
        }
    }
}
