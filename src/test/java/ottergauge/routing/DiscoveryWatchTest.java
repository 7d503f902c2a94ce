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
 * Tests a watch that becomes silent and a watch that can't be opened. A change must reach the node
 * within 6 s after discovery has it and is reachable, even if many nodes poll at the same time.
 */
class DiscoveryWatchTest {

    private static final long SECOND = 1_000_000;
    private static final long PROPAGATION_DEADLINE = 6 * SECOND;
    private static final EndpointList NO_CHANGE = new EndpointList(41, false, List.of());
    private static final EndpointList DRAINING_UPDATE = list(42, false, "terminating");

    private final List<Effect> effects = new ArrayList<>();
    private final DiscoveryWatch watch = new DiscoveryWatch(new TestConfig().build(), effects::add);

    private static EndpointList list(long seq, boolean complete, String health) {
        try {
            return EndpointList.read(
                    TestConfig.list(seq, complete, endpointJson("s-1", "10.0.0.1:80", health))
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
        assertTrue(first.maxWaitMicros() < SECOND, "the first answer shows that the watch is open");
        effects.clear();
        watch.answerAccepted(SECOND, first.poll(), NO_CHANGE);
        return expect(PollDiscovery.class);
    }

    /**
     * Guards against requests to draining servers: if the node noticed a silent watch only at the
     * propagation deadline (6 s), it would receive the change after that deadline.
     */
    @Test
    void silentWatch_isReopenedSoonAfterItsWait() {
        PollDiscovery silent = watching();
        StartTimer timer = expect(StartTimer.class);
        assertTrue(
                timer.delayMicros() <= PROPAGATION_DEADLINE / 2,
                "noticed after " + timer.delayMicros());
        watch.pollTimedOut(SECOND + timer.delayMicros(), silent.poll());
        PollDiscovery reopening = expect(PollDiscovery.class);
        assertEquals(41, reopening.afterVersion());
        assertTrue(
                effects.stream().noneMatch(CancelPoll.class::isInstance),
                "the answer to the earlier poll is still accepted");
        assertTrue(watch.accepts(reopening.poll(), DRAINING_UPDATE));
        assertTrue(
                watch.answerAccepted(14 * SECOND, reopening.poll(), DRAINING_UPDATE).isPresent());
        assertEquals(silent.poll(), expect(CancelPoll.class).poll());
    }

    /**
     * Guards against losing a change: its answer may arrive at the propagation deadline, after the
     * node has given up that poll and sent another one.
     */
    @Test
    void lateAnswerOfASilentWatch_isAcceptedUntilTheNextAnswer() {
        PollDiscovery silent = watching();
        watch.pollTimedOut(12 * SECOND, silent.poll());
        effects.clear();
        PollDiscovery unused = new PollDiscovery(silent.poll() + 1, silent.address(), 41, 0);
        assertTrue(watch.accepts(silent.poll(), DRAINING_UPDATE));
        assertTrue(watch.answerAccepted(12 * SECOND, silent.poll(), DRAINING_UPDATE).isPresent());
        assertTrue(effects.isEmpty(), "the watch continues with the newer poll only: " + effects);
        assertFalse(
                watch.accepts(silent.poll(), list(43, false, "in_service")),
                "the poll was answered twice");
        // The answer to the newer poll has a version that is already known, or a newer one.
        assertFalse(
                watch.accepts(unused.poll(), NO_CHANGE), "an older answer would undo a newer one");
        assertTrue(watch.accepts(unused.poll(), DRAINING_UPDATE));
        watch.answerAccepted(13 * SECOND, unused.poll(), DRAINING_UPDATE);
        assertEquals(42, expect(PollDiscovery.class).afterVersion());
    }

    /**
     * Guards against losing a change: its answer may arrive at the propagation deadline, after the
     * poll has timed out and while the node waits to send the next one.
     */
    @Test
    void answerToATimedOutFirstPoll_isAcceptedDuringTheBackoff() {
        watch.begin(0);
        PollDiscovery first = expect(PollDiscovery.class);
        watch.pollTimedOut(3 * SECOND, first.poll());
        assertTrue(
                effects.stream().noneMatch(PollDiscovery.class::isInstance),
                "polled again without a delay");
        StartTimer delay =
                effects.stream()
                        .filter(StartTimer.class::isInstance)
                        .map(StartTimer.class::cast)
                        .filter(timer -> timer.timer() instanceof Timer.NextPoll)
                        .findFirst()
                        .orElseThrow();
        assertTrue(delay.delayMicros() <= SECOND / 2, "delayed by " + delay.delayMicros());
        assertTrue(watch.accepts(first.poll(), DRAINING_UPDATE));
        watch.resume(4 * SECOND, first.poll());
        PollDiscovery second = expect(PollDiscovery.class);
        watch.pollTimedOut(7 * SECOND, second.poll());
        assertEquals(
                first.poll(),
                expect(CancelPoll.class).poll(),
                "answers to more than two polls are accepted");
    }

    @Test
    void silentPollThatFailsLater_isNoFailureOfTheWatch() {
        PollDiscovery silent = watching();
        watch.pollTimedOut(12 * SECOND, silent.poll());
        PollDiscovery reopening = expect(PollDiscovery.class);
        effects.clear();
        watch.pollFailed(12 * SECOND, silent.poll());
        assertTrue(effects.isEmpty());
        watch.pollFailed(12 * SECOND, reopening.poll());
        assertTrue(expect(StartTimer.class).timer() instanceof Timer.NextPoll);
    }

    /**
     * Guards against a delay in which the node gets no changes: if the connection of an open watch
     * breaks, the node polls again at once instead of after a backoff.
     */
    @Test
    void brokenWatch_isReopenedAtOnce() {
        PollDiscovery broken = watching();
        watch.pollFailed(2 * SECOND, broken.poll());
        assertEquals(41, expect(PollDiscovery.class).afterVersion());
    }

    /**
     * Guards against waiting forever for a newer version: a restarted discovery numbers its
     * versions from the beginning and may never reach the node's version.
     */
    @Test
    void restartedVersions_arePolledForTheCompleteList() {
        PollDiscovery outstanding = watching();
        EndpointList lower = new EndpointList(3, false, List.of());
        assertFalse(watch.accepts(outstanding.poll(), lower));
        effects.clear();
        watch.answerIgnored(2 * SECOND, outstanding.poll(), lower);
        PollDiscovery completePoll = expect(PollDiscovery.class);
        assertEquals(-1, completePoll.afterVersion());
        assertFalse(
                watch.accepts(completePoll.poll(), lower),
                "an incremental answer to a poll for the complete list");
        assertTrue(watch.accepts(completePoll.poll(), list(3, true, "in_service")));
    }

    /**
     * Guards against an older complete list that undoes a newer update: the node may have two polls
     * outstanding, and their answers may arrive in either order.
     */
    @Test
    void olderAnswer_isIgnoredAndTheWatchContinues() {
        PollDiscovery silent = watching();
        watch.pollTimedOut(3 * SECOND, silent.poll());
        PollDiscovery reopening = expect(PollDiscovery.class);
        assertTrue(watch.accepts(silent.poll(), DRAINING_UPDATE));
        watch.answerAccepted(3 * SECOND, silent.poll(), DRAINING_UPDATE);
        EndpointList old = list(41, true, "in_service");
        assertFalse(watch.accepts(reopening.poll(), old));
        effects.clear();
        watch.answerIgnored(4 * SECOND, reopening.poll(), old);
        assertEquals(42, expect(PollDiscovery.class).afterVersion());
    }

    /**
     * Guards against wasted network traffic: without growing delays, discovery would send the
     * complete malformed list about once a second, forever.
     */
    @Test
    void listThatIsAlwaysRejected_isPolledWithGrowingDelays() {
        watch.begin(0);
        long now = 0;
        List<Long> delays = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            PollDiscovery outstanding = expect(PollDiscovery.class);
            effects.clear();
            watch.listRejected(now, outstanding.poll());
            StartTimer delay = expect(StartTimer.class);
            assertEquals(outstanding.poll(), ((Timer.NextPoll) delay.timer()).afterPoll());
            delays.add(delay.delayMicros());
            now += delay.delayMicros();
            watch.resume(now, outstanding.poll());
        }
        assertTrue(
                delays.subList(0, 3).stream().allMatch(delay -> delay < 2 * SECOND),
                "an answer damaged in transit is intact at the next poll: " + delays);
        assertTrue(delays.get(3) >= 3 * SECOND, delays.toString());
        assertTrue(
                delays.subList(10, 20).stream().allMatch(delay -> delay >= 100 * SECOND),
                delays.toString());
        assertTrue(delays.stream().allMatch(delay -> delay <= 400 * SECOND), delays.toString());
        assertFalse(watch.isStale(now), "the previous list stays effective");
    }

    @Test
    void acceptedList_resetsTheCountOfRejections() {
        PollDiscovery outstanding = watching();
        for (int i = 0; i < 6; i++) {
            effects.clear();
            watch.listRejected(2 * SECOND, outstanding.poll());
            watch.resume(3 * SECOND, outstanding.poll());
            outstanding = expect(PollDiscovery.class);
        }
        watch.answerAccepted(4 * SECOND, outstanding.poll(), DRAINING_UPDATE);
        PollDiscovery next = expect(PollDiscovery.class);
        effects.clear();
        watch.listRejected(5 * SECOND, next.poll());
        assertEquals(
                42,
                expect(PollDiscovery.class).afterVersion(),
                "a watch that breaks is reopened at once");
    }

    private record ScheduledPoll(int node, long at, PollDiscovery outstanding) {}

    /**
     * All watches of a fleet become silent at the same time, soon after the same change was sent to
     * all of them. Discovery handles one poll at a time, takes {@code allPollsMs} for one poll of
     * every node, and rejects a poll that would wait for more than 2 s.
     */
    @ParameterizedTest
    @CsvSource({"30, 5000", "100, 5000", "120, 5000"})
    void nodesThatLoseTheirWatchesTogether_areAllNotifiedInTime(int nodes, long allPollsMs) {
        long serviceTime = allPollsMs * 1000 / nodes;
        PriorityQueue<ScheduledPoll> scheduledPolls =
                new PriorityQueue<>(Comparator.comparingLong(ScheduledPoll::at));
        List<List<Effect>> effectsByNode = new ArrayList<>();
        List<DiscoveryWatch> watches = new ArrayList<>();
        for (int i = 0; i < nodes; i++) {
            List<Effect> nodeEffects = new ArrayList<>();
            DiscoveryWatch each = new DiscoveryWatch(configWithSeed(i), nodeEffects::add);
            watches.add(each);
            effectsByNode.add(nodeEffects);
            each.begin(0);
            each.answerAccepted(0, 1, NO_CHANGE);
            long timedOutAt = lastTimer(nodeEffects);
            each.pollTimedOut(timedOutAt, last(nodeEffects).poll());
            scheduledPolls.add(new ScheduledPoll(i, timedOutAt, last(nodeEffects)));
        }
        long idleAt = 0;
        int answered = 0;
        while (!scheduledPolls.isEmpty()) {
            ScheduledPoll next = scheduledPolls.poll();
            if (next.outstanding == null) {
                watches.get(next.node).resume(next.at, last(effectsByNode.get(next.node)).poll());
                scheduledPolls.add(
                        new ScheduledPoll(next.node, next.at, last(effectsByNode.get(next.node))));
            } else if (idleAt > next.at + 2 * SECOND - serviceTime) {
                watches.get(next.node).pollFailed(next.at, next.outstanding.poll());
                scheduledPolls.add(
                        new ScheduledPoll(
                                next.node,
                                next.at + lastTimer(effectsByNode.get(next.node)),
                                null));
            } else {
                idleAt = Math.max(idleAt, next.at) + serviceTime;
                answered++;
            }
        }
        assertEquals(nodes, answered);
        assertTrue(idleAt <= PROPAGATION_DEADLINE, "the last node is notified after " + idleAt);
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

    private static NodeConfig configWithSeed(int seed) {
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
