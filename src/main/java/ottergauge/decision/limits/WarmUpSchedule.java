// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.limits;

import ottergauge.decision.api.ServiceRules;

/** The least part of its capacity that a server can have while it warms up. */
public final class WarmUpSchedule {

    private static final double MIN_INITIAL_CAPACITY_RATIO = 0.01;

    private long durationMicros;
    private double initialRatio;

    /** Takes other rules. */
    public void applySettings(ServiceRules rules) {
        durationMicros = rules.slowStartDuration();
        initialRatio = Math.max(MIN_INITIAL_CAPACITY_RATIO, rules.initialCapacityRatio());
    }

    /**
     * Returns the warm-up factor, over 0 to 1.
     *
     * @param startedAt the server's start, in microseconds
     * @param at the instant that is asked for, in microseconds
     */
    public double factor(long startedAt, long at) {
        long age = at - startedAt;
        if (age >= durationMicros) {
            return 1;
        }
        return initialRatio + (1 - initialRatio) * age / durationMicros;
    }
}
