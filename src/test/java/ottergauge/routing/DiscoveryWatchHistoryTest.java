// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import ottergauge.routing.SimulatedDiscovery.Fault;
import ottergauge.routing.SimulatedDiscovery.Trouble;

/**
 * Guards against requests to servers that have been announced as leaving, whatever befalls the
 * calls to discovery: on random histories of failed, refused, swallowed and silent calls, given-up
 * ones and moves of discovery, each change is in hand 6 s after discovery had it and could be
 * reached.
 */
class DiscoveryWatchHistoryTest {

    private static final long SECOND = 1_000_000;
    private static final long TOLD = 6 * SECOND;
    private static final long LENGTH = 60 * SECOND;
    // A call is asked for again in this time of no news at the most so often: by no means by the
    // dozen.
    private static final int MOST_CALLS = 12;

    /** What befalls discovery, when changes are made, and the seed of the rest. */
    record History(List<Fault> faults, List<Long> changes, long seed) {}

    @Provide
    Arbitrary<History> histories() {
        Arbitrary<Long> at = Arbitraries.longs().between(SECOND, LENGTH - 20 * SECOND);
        Arbitrary<Fault> faults =
                Combinators.combine(
                                Arbitraries.of(Trouble.values()),
                                at,
                                Arbitraries.longs().between(1, 12 * SECOND))
                        .as(Fault::new);
        // Changes of their own, and such that are made in the very moment of a fault or of its end.
        return Combinators.combine(
                        faults.list().ofMaxSize(4),
                        at.list().ofMaxSize(6),
                        Arbitraries.longs().between(-2_000, 2_000),
                        Arbitraries.longs())
                .as(
                        (f, changes, off, seed) -> {
                            List<Long> all = new ArrayList<>(changes);
                            f.forEach(
                                    fault -> {
                                        all.add(Math.max(1, fault.from() + off));
                                        all.add(Math.max(1, fault.until() + off));
                                    });
                            Collections.sort(all);
                            return new History(f, all, seed);
                        });
    }

    @Property(tries = 3000, seed = "41")
    void eachChange_arrivesInTimeWhateverPollsFail(@ForAll("histories") History history) {
        SimulatedDiscovery play =
                new SimulatedDiscovery(history.faults(), history.changes(), history.seed());
        play.run(LENGTH);
        for (long change : history.changes()) {
            long due = play.reachable(change, TOLD) + TOLD;
            if (due <= LENGTH) {
                long had = play.hadAt(change);
                assertTrue(
                        had <= due,
                        "the change at "
                                + change
                                + " was in hand "
                                + (had - due)
                                + " us after it counted as told: "
                                + play.log());
            }
        }
    }

    @Property(tries = 1000, seed = "42")
    void discovery_isNotPolledInABurst(@ForAll("histories") History history) {
        SimulatedDiscovery play =
                new SimulatedDiscovery(history.faults(), List.of(), history.seed());
        play.run(LENGTH);
        List<Long> calls = play.calls();
        for (int i = MOST_CALLS; i < calls.size(); i++) {
            assertTrue(
                    calls.get(i) - calls.get(i - MOST_CALLS) >= 4 * SECOND,
                    "called "
                            + MOST_CALLS
                            + " times from "
                            + calls.get(i - MOST_CALLS)
                            + ": "
                            + play.log());
        }
    }
}
