// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.protocol.TestConfig.host;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import org.junit.jupiter.api.Test;
import ottergauge.DecisionApi.ListFailed;
import ottergauge.protocol.HostList;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.ProtocolException;
import ottergauge.protocol.TestConfig;
import ottergauge.routing.Effect.CallDiscovery;
import ottergauge.routing.Effect.GiveUpCall;
import ottergauge.routing.Effect.StartTimer;

/**
 * A watch that falls silent. What it misses counts as told two seconds after the wait of its call is over, so
 * by then the list has to be there, whatever the other nodes ask at that time.
 */
class WatchTest {

    private static final long SECOND = 1_000_000;
    private static final long COUNTS_AS_TOLD = 2 * SECOND;
    private static final long ASK_WITHIN = 10 * SECOND;
    private static final HostList NOTHING = new HostList(41, false, List.of());
    private static final HostList DRAINS = list(42, false, "terminating");

    private final List<Effect> effects = new ArrayList<>();
    private final Watch watch = new Watch(new TestConfig().build(), effects::add);

    private static HostList list(long seq, boolean whole, String health) {
        try {
            return HostList.read(TestConfig.list(seq, whole, host("s-1", "10.0.0.1:80", health)).getBytes());
        } catch (ProtocolException e) {
            throw new IllegalStateException(e);
        }
    }

    private <E> E expect(Class<E> kind) {
        E found = effects.stream().filter(kind::isInstance).map(kind::cast).findFirst().orElseThrow();
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

    /** Guards against requests to servers that leave: noticed when it counted as told, it was too late. */
    @Test
    void aSilentWatchIsOpenedAnewAtOnceAndSoonAfterItsWait() {
        CallDiscovery silent = watching();
        StartTimer timer = expect(StartTimer.class);
        assertTrue(timer.delay() <= silent.waits() + COUNTS_AS_TOLD / 4, "noticed after " + timer.delay());
        assertTrue(watch.due(SECOND + timer.delay(), silent.call()).isEmpty(), "no pause is wanted");
        CallDiscovery again = expect(CallDiscovery.class);
        assertEquals(41, again.after());
        assertTrue(effects.stream().noneMatch(GiveUpCall.class::isInstance), "the old call is still read");
        assertTrue(watch.takes(again.call(), DRAINS));
        assertTrue(watch.read(14 * SECOND, again.call(), DRAINS).isPresent());
        assertEquals(silent.call(), expect(GiveUpCall.class).call());
    }

    /** Guards against an answer that counts as told and is dropped, since its call was given up meanwhile. */
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

    @Test
    void aWatchThatIsSilentFromTheStartIsNotAskedAnewWithoutAPause() {
        watch.begin(0);
        CallDiscovery first = expect(CallDiscovery.class);
        assertTrue(watch.due(3 * SECOND, first.call()).orElseThrow() instanceof ListFailed);
        assertEquals(first.call(), expect(GiveUpCall.class).call());
        assertTrue(effects.stream().noneMatch(CallDiscovery.class::isInstance));
        assertFalse(watch.takes(first.call(), DRAINS));
        watch.begin(4 * SECOND);
        expect(CallDiscovery.class);
    }

    @Test
    void aSilentCallThatEndsLaterIsNoFailureOfTheWatch() {
        CallDiscovery silent = watching();
        watch.due(12 * SECOND, silent.call());
        assertTrue(watch.failed(silent.call()).isEmpty());
        assertTrue(watch.failed(silent.call() + 1).isPresent());
    }

    private record Asked(int node, long at, CallDiscovery call) { }

    /**
     * All watches of a fleet fall silent at one moment, soon after the same change woke them all; discovery
     * answers all nodes in eight tenths of the time in which each must be able to ask, one by one.
     */
    @Test
    void aHundredNodesThatLoseTheirWatchesTogetherAreAllToldInTime() {
        int nodes = 100;
        long turn = ASK_WITHIN * 8 / 10 / nodes;
        PriorityQueue<Asked> asked = new PriorityQueue<>(Comparator.comparingLong(Asked::at));
        long[] toldBy = new long[nodes];
        for (int i = 0; i < nodes; i++) {
            List<Effect> told = new ArrayList<>();
            Watch each = new Watch(seeded(i), told::add);
            each.begin(0);
            each.read(0, 1, NOTHING);
            long noticed = told.stream().filter(StartTimer.class::isInstance).map(StartTimer.class::cast)
                .reduce((first, last) -> last).orElseThrow().delay();
            toldBy[i] = last(told).waits() + COUNTS_AS_TOLD;
            each.due(noticed, last(told).call());
            asked.add(new Asked(i, noticed, last(told)));
        }
        long free = 0;
        while (!asked.isEmpty()) {
            Asked next = asked.poll();
            free = Math.max(free, next.at) + turn;
            assertTrue(free <= toldBy[next.node], "node " + next.node + " is answered "
                + (free - toldBy[next.node]) + " us after it counts as told");
        }
    }

    private static CallDiscovery last(List<Effect> effects) {
        return effects.stream().filter(CallDiscovery.class::isInstance).map(CallDiscovery.class::cast)
            .reduce((first, last) -> last).orElseThrow();
    }

    private static NodeConfig seeded(int seed) {
        try {
            return NodeConfig.read(new TestConfig().json().replace("8c1f30d27a5be964",
                Long.toHexString(0x9e3779b97f4a7c15L * (seed + 1))).getBytes());
        } catch (ProtocolException e) {
            throw new IllegalStateException(e);
        }
    }
}
