// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.limits;

import ottergauge.decision.api.ServiceRules;

/**
 * The fraction of its full capacity that a server has at least during slow start. The fraction
 * grows linearly with the time since the server's start.
 */
public final class WarmUpSchedule {

    private static final double MIN_INITIAL_CAPACITY_RATIO = 0.01;

    private long durationMicros;
    private double initialRatio;

    /** Applies new rules. */
    public void applySettings(ServiceRules rules) {
        durationMicros = rules.slowStartDuration();
        initialRatio = Math.max(MIN_INITIAL_CAPACITY_RATIO, rules.initialCapacityRatio());
    }

    /**
     * Returns that fraction, the warm-up factor. It is greater than 0 and at most 1.
     *
     * @param startedAt instant at which the server started, in microseconds
     * @param at instant for which the factor is returned, in microseconds
     */
    public double factor(long startedAt, long at) {
        long age = at - startedAt;
        if (age >= durationMicros) {
            return 1;
        }
        return initialRatio + (1 - initialRatio) * age / durationMicros;
    }
}
