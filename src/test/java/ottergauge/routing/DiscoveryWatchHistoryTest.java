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
import ottergauge.routing.SimulatedDiscovery.FaultKind;

/**
 * Guards against requests to servers that discovery lists as draining. The histories are random:
 * polls fail, are rejected, get no answer or time out, and discovery moves to another address. Each
 * change must reach the node within 6 s after discovery has it and is reachable.
 */
class DiscoveryWatchHistoryTest {

    private static final long SECOND = 1_000_000;
    private static final long PROPAGATION_DEADLINE = 6 * SECOND;
    private static final long DURATION = 60 * SECOND;
    // While the list does not change, the node sends at most this number of polls within 4 s.
    private static final int MAX_POLLS = 12;

    /** The faults of discovery, the times of changes, and the seed of all other random choices. */
    record History(List<Fault> faults, List<Long> changes, long seed) {}

    @Provide
    Arbitrary<History> histories() {
        Arbitrary<Long> at = Arbitraries.longs().between(SECOND, DURATION - 20 * SECOND);
        Arbitrary<Fault> faults =
                Combinators.combine(
                                Arbitraries.of(FaultKind.values()),
                                at,
                                Arbitraries.longs().between(1, 12 * SECOND))
                        .as(Fault::new);
        // Independent changes, and changes within 2 ms of the start or end of a fault.
        return Combinators.combine(
                        faults.list().ofMaxSize(4),
                        at.list().ofMaxSize(6),
                        Arbitraries.longs().between(-2_000, 2_000),
                        Arbitraries.longs())
                .as(
                        (f, changes, offset, seed) -> {
                            List<Long> all = new ArrayList<>(changes);
                            f.forEach(
                                    fault -> {
                                        all.add(Math.max(1, fault.start() + offset));
                                        all.add(Math.max(1, fault.end() + offset));
                                    });
                            Collections.sort(all);
                            return new History(f, all, seed);
                        });
    }

    @Property(tries = 3000, seed = "41")
    void eachChange_arrivesInTimeDespiteFailedPolls(@ForAll("histories") History history) {
        SimulatedDiscovery simulation =
                new SimulatedDiscovery(history.faults(), history.changes(), history.seed());
        simulation.run(DURATION);
        for (long change : history.changes()) {
            long deadline =
                    simulation.reachableSince(change, PROPAGATION_DEADLINE) + PROPAGATION_DEADLINE;
            if (deadline <= DURATION) {
                long received = simulation.receivedAt(change);
                assertTrue(
                        received <= deadline,
                        "the change at "
                                + change
                                + " reached the node "
                                + (received - deadline)
                                + " us after its deadline: "
                                + simulation.log());
            }
        }
    }

    @Property(tries = 1000, seed = "42")
    void discovery_isNotPolledInABurst(@ForAll("histories") History history) {
        SimulatedDiscovery simulation =
                new SimulatedDiscovery(history.faults(), List.of(), history.seed());
        simulation.run(DURATION);
        List<Long> polls = simulation.polls();
        for (int i = MAX_POLLS; i < polls.size(); i++) {
            assertTrue(
                    polls.get(i) - polls.get(i - MAX_POLLS) >= 4 * SECOND,
                    "polled "
                            + MAX_POLLS
                            + " times from "
                            + polls.get(i - MAX_POLLS)
                            + ": "
                            + simulation.log());
        }
    }
}
