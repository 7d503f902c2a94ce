// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.List;
import java.util.Optional;
import ottergauge.replica.ModelControlProcess.FaultWindow;
import ottergauge.resources.Subscription;

/** The randomly generated input of one simulation. Times are in microseconds since its start. */
record SimulationScript(
        List<FaultWindow> faults,
        List<Long> changes,
        List<Long> invalidChanges,
        List<Stall> stalls,
        Optional<Long> newLogAt,
        Optional<Long> clockSetBackAt,
        Subscription subscription,
        boolean networkUnreliable,
        int retained,
        long seed) {

    /**
     * A period in which the node is stalled. Events that arrive during it are handled afterwards,
     * in any order.
     */
    record Stall(long from, long until) {}
}
