// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.host;

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
import ottergauge.routing.Effect.CallDiscovery;
import ottergauge.routing.Effect.GiveUpCall;
import ottergauge.routing.Effect.StartTimer;

/**
 * A watch that falls silent, and one that can't be opened. What is missed counts as told six
 * seconds after discovery had it and could be reached, so by then the list has to be there,
 * whatever the other nodes ask.
 */
class WatchTest {

    private static final long SECOND = 1_000_000;
    private static final long COUNTS_AS_TOLD = 6 * SECOND;
    private static final EndpointList NOTHING = new EndpointList(41, false, List.of());
    private static final EndpointList DRAINS = list(42, false, "terminating");

    private final List<Effect> effects = new ArrayList<>();
    private final Watch watch = new Watch(new TestConfig().build(), effects::add);

    private static EndpointList list(long seq, boolean whole, String health) {
        try {
            return EndpointList.read(
                    TestConfig.list(seq, whole, host("s-1", "10.0.0.1:80", health))
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

    private CallDiscovery watching() {
        watch.begin(0);
        CallDiscovery first = expect(CallDiscovery.class);
        assertTrue(first.waits() < SECOND, "the first answer says that the watch is alive");
        effects.clear();
        watch.read(SECOND, first.call(), NOTHING);
        return expect(CallDiscovery.class);
    }

    /**
     * Guards against requests to servers that leave: noticed when it counted as told, it was too
     * late.
     */
    @Test
    void aSilentWatchIsOpenedAnewAtOnceAndSoonAfterItsWait() {
        CallDiscovery silent = watching();
        StartTimer timer = expect(StartTimer.class);
        assertTrue(timer.delay() <= COUNTS_AS_TOLD / 2, "noticed after " + timer.delay());
        watch.due(SECOND + timer.delay(), silent.call());
        CallDiscovery again = expect(CallDiscovery.class);
        assertEquals(41, again.after());
        assertTrue(
                effects.stream().noneMatch(GiveUpCall.class::isInstance),
                "the old call is still read");
        assertTrue(watch.takes(again.call(), DRAINS));
        assertTrue(watch.read(14 * SECOND, again.call(), DRAINS).isPresent());
        assertEquals(silent.call(), expect(GiveUpCall.class).call());
    }

    /**
     * Guards against an answer that counts as told and is dropped, since its call was given up
     * meanwhile.
     */
    @Test
    void aLateAnswerOfASilentWatchCountsUntilTheNextOneIsThere() {
        CallDiscovery silent = watching();
        watch.due(12 * SECOND, silent.call());
        effects.clear();
        CallDiscovery unused = new CallDiscovery(silent.call() + 1, silent.address(), 41, 0);
        assertTrue(watch.takes(silent.call(), DRAINS));
        assertTrue(watch.read(12 * SECOND, silent.call(), DRAINS).isPresent());
        assertTrue(effects.isEmpty(), "the watch goes on with the newer call alone: " + effects);
        assertFalse(watch.takes(silent.call(), list(43, false, "in_service")), "answered twice");
        // What the newer call brings was known before, or is newer still.
        assertFalse(watch.takes(unused.call(), NOTHING), "an old word would undo a newer one");
        assertTrue(watch.takes(unused.call(), DRAINS));
        watch.read(13 * SECOND, unused.call(), DRAINS);
        assertEquals(42, expect(CallDiscovery.class).after());
    }

    /**
     * Guards against an answer that counts as told and is dropped: it may come to a call given up
     * on.
     */
    @Test
    void aFirstCallThatIsNotAnsweredIsReadOnWhileTheNextOneIsPausedFor() {
        watch.begin(0);
        CallDiscovery first = expect(CallDiscovery.class);
        watch.due(3 * SECOND, first.call());
        assertTrue(
                effects.stream().noneMatch(CallDiscovery.class::isInstance), "asked with no pause");
        StartTimer pause =
                effects.stream()
                        .filter(StartTimer.class::isInstance)
                        .map(StartTimer.class::cast)
                        .filter(timer -> timer.timer() instanceof Timer.NextCall)
                        .findFirst()
                        .orElseThrow();
        assertTrue(pause.delay() <= SECOND / 2, "paused for " + pause.delay());
        assertTrue(watch.takes(first.call(), DRAINS));
        watch.resume(4 * SECOND, first.call());
        CallDiscovery second = expect(CallDiscovery.class);
        watch.due(7 * SECOND, second.call());
        assertEquals(first.call(), expect(GiveUpCall.class).call(), "more calls are read than two");
    }

    @Test
    void aSilentCallThatEndsLaterIsNoFailureOfTheWatch() {
        CallDiscovery silent = watching();
        watch.due(12 * SECOND, silent.call());
        CallDiscovery again = expect(CallDiscovery.class);
        effects.clear();
        watch.failed(12 * SECOND, silent.call());
        assertTrue(effects.isEmpty());
        watch.failed(12 * SECOND, again.call());
        assertTrue(expect(StartTimer.class).timer() instanceof Timer.NextCall);
    }

    /** Guards against a pause in which nothing is heard where the watch was open until now. */
    @Test
    void aWatchThatBreaksIsOpenedAnewAtOnce() {
        CallDiscovery broken = watching();
        watch.failed(2 * SECOND, broken.call());
        assertEquals(41, expect(CallDiscovery.class).after());
    }

    /**
     * Guards against a node that waits for news of versions which discovery, begun anew, never
     * reaches.
     */
    @Test
    void versionsThatBeginAnewAreAskedForWhole() {
        CallDiscovery call = watching();
        EndpointList lower = new EndpointList(3, false, List.of());
        assertFalse(watch.takes(call.call(), lower));
        effects.clear();
        watch.passOver(2 * SECOND, call.call(), lower);
        CallDiscovery whole = expect(CallDiscovery.class);
        assertEquals(-1, whole.after());
        assertFalse(watch.takes(whole.call(), lower), "changes where the whole list was asked for");
        assertTrue(watch.takes(whole.call(), list(3, true, "in_service")));
    }

    /** Guards against an older whole list that undoes what a call beside it has brought. */
    @Test
    void anOlderAnswerUndoesNothingAndTheWatchGoesOn() {
        CallDiscovery silent = watching();
        watch.due(3 * SECOND, silent.call());
        CallDiscovery again = expect(CallDiscovery.class);
        assertTrue(watch.takes(silent.call(), DRAINS));
        watch.read(3 * SECOND, silent.call(), DRAINS);
        EndpointList old = list(41, true, "in_service");
        assertFalse(watch.takes(again.call(), old));
        effects.clear();
        watch.passOver(4 * SECOND, again.call(), old);
        assertEquals(42, expect(CallDiscovery.class).after());
    }

    /**
     * Guards against a list that can't be taken and is sent whole about once a second, for ever.
     */
    @Test
    void aListThatIsNeverTakenIsAskedForLessAndLessOften() {
        watch.begin(0);
        long now = 0;
        List<Long> pauses = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            CallDiscovery call = expect(CallDiscovery.class);
            effects.clear();
            watch.notTaken(now, call.call());
            StartTimer pause = expect(StartTimer.class);
            assertEquals(call.call(), ((Timer.NextCall) pause.timer()).after());
            pauses.add(pause.delay());
            now += pause.delay();
            watch.resume(now, call.call());
        }
        assertTrue(
                pauses.subList(0, 3).stream().allMatch(pause -> pause < 2 * SECOND),
                "spoilt by chance it is sound the next time: " + pauses);
        assertTrue(pauses.get(3) >= 3 * SECOND, pauses.toString());
        assertTrue(
                pauses.subList(10, 20).stream().allMatch(pause -> pause >= 100 * SECOND),
                pauses.toString());
        assertTrue(pauses.stream().allMatch(pause -> pause <= 400 * SECOND), pauses.toString());
        assertFalse(watch.stale(now), "the list before stays in force");
    }

    @Test
    void onceAListIsTakenSpoiltOnesCountAnew() {
        CallDiscovery call = watching();
        for (int i = 0; i < 6; i++) {
            effects.clear();
            watch.notTaken(2 * SECOND, call.call());
            watch.resume(3 * SECOND, call.call());
            call = expect(CallDiscovery.class);
        }
        watch.read(4 * SECOND, call.call(), DRAINS);
        CallDiscovery next = expect(CallDiscovery.class);
        effects.clear();
        watch.notTaken(5 * SECOND, next.call());
        assertEquals(
                42,
                expect(CallDiscovery.class).after(),
                "a watch that breaks is opened anew at once");
    }

    private record Asked(int node, long at, CallDiscovery call) {}

    /**
     * All watches of a fleet fall silent at one moment, soon after the same change woke them all;
     * discovery takes this long for one call of every node, one by one, and turns away who would
     * wait for over 2 s.
     */
    @ParameterizedTest
    @CsvSource({"30, 5000", "100, 5000", "120, 5000"})
    void nodesThatLoseTheirWatchesTogetherAreAllToldInTime(int nodes, long allCallsMs) {
        long turn = allCallsMs * 1000 / nodes;
        PriorityQueue<Asked> asked = new PriorityQueue<>(Comparator.comparingLong(Asked::at));
        List<List<Effect>> told = new ArrayList<>();
        List<Watch> watches = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            List<Effect> own = new ArrayList<>();
            Watch each = new Watch(seeded(i), own::add);
            watches.add(each);
            told.add(own);
            each.begin(0);
            each.read(0, 1, NOTHING);
            long noticed = lastTimer(own);
            each.due(noticed, last(own).call());
            asked.add(new Asked(i, noticed, last(own)));
        }
        long free = 0;
        int answered = 0;
        while (!asked.isEmpty()) {
            Asked next = asked.poll();
            if (next.call == null) {
                watches.get(next.node).resume(next.at, last(told.get(next.node)).call());
                asked.add(new Asked(next.node, next.at, last(told.get(next.node))));
            } else if (free > next.at + 2 * SECOND - turn) {
                watches.get(next.node).failed(next.at, next.call.call());
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
                .delay();
    }

    private static CallDiscovery last(List<Effect> effects) {
        return effects.stream()
                .filter(CallDiscovery.class::isInstance)
                .map(CallDiscovery.class::cast)
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
