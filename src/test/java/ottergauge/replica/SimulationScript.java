// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.List;
import java.util.Optional;
import ottergauge.replica.ModelControlProcess.FaultWindow;
import ottergauge.resources.Subscription;

/** All that is drawn for one simulation; instants are microseconds from its start. */
record SimulationScript(
        List<FaultWindow> faults,
        List<Long> changes,
        List<Long> badChanges,
        List<Stall> stalls,
        Optional<Long> newLogAt,
        Optional<Long> clockBackAt,
        Subscription subscription,
        boolean networkIsBad,
        int retained,
        long seed) {

    /** The node is stalled; what arrives meanwhile is handled after it in any order. */
    record Stall(long from, long until) {}
}
