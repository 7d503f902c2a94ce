// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.statistics;

import java.util.List;
import java.util.Map;
import ottergauge.lab.scale.scenario.ScaleScenario.Phase;

/**
 * When a phase was played and what is held against it; instants are wall-clock microseconds.
 *
 * @param from when it began
 * @param until when all nodes had been waited for
 * @param hollow the hollow nodes, by name
 * @param real the real nodes, by name
 * @param beginsAnew whether hollow nodes began without any state: then their time counts from
 *     {@code from}
 * @param excusedUntil for nodes that could not be reached in this phase, when they could be again
 * @param digest what each node's servers should come to in the end; empty if that was not asked for
 */
public record PhaseWindow(
        Phase phase,
        long from,
        long until,
        List<String> hollow,
        List<String> real,
        boolean beginsAnew,
        Map<String, Long> excusedUntil,
        String digest) {

    // What is counted in spans of time bears the instant at which its span began.
    private static final long LONGEST_SPAN = 100_000;

    /**
     * When the first span began that reaches into the phase; before it all is at rest for over a
     * second.
     */
    long spansFrom() {
        return from - LONGEST_SPAN;
    }

    /** Whether a span, or an instant, belongs to the phase. */
    boolean holds(long at) {
        return at > spansFrom() && at < until;
    }
}
