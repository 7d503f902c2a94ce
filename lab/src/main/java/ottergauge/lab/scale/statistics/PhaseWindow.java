// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.statistics;

import java.util.List;
import java.util.Map;
import ottergauge.lab.scale.scenario.ScaleScenario.Phase;

/**
 * The period of a phase and what its observations are compared with. Times are wall-clock
 * microseconds.
 *
 * @param from when the phase started
 * @param until when the wait for all nodes ended
 * @param hollow the names of the hollow nodes
 * @param real the names of the real nodes
 * @param startsWithoutState whether hollow nodes started without any state; then their time counts
 *     from {@code from}
 * @param reachableFrom for nodes that could not be reached in this phase, when they became
 *     reachable
 * @param digest the expected digest of each node's servers at the end; empty if it was not
 *     requested
 */
public record PhaseWindow(
        Phase phase,
        long from,
        long until,
        List<String> hollow,
        List<String> real,
        boolean startsWithoutState,
        Map<String, Long> reachableFrom,
        String digest) {

    // A count for an interval is recorded under the time at which the interval started.
    private static final long MAX_INTERVAL = 100_000;

    /**
     * Returns the exclusive lower bound for the start of intervals that overlap the phase. Nothing
     * happens for more than a second before a phase, so the bound includes no count from before the
     * phase.
     */
    long intervalsFrom() {
        return from - MAX_INTERVAL;
    }

    /**
     * Returns whether an interval that starts at this time, or an event at this time, belongs to
     * the phase.
     */
    boolean contains(long at) {
        return at > intervalsFrom() && at < until;
    }
}
