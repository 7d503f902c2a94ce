// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.request;

import ottergauge.decision.limits.MovingAverage;
import ottergauge.decision.model.Instants;

/** The mean time between the arrivals of successive requests. */
public final class ArrivalInterval {

    private static final double MAX_INTERVAL_MICROS = 1e6;

    private double mean;
    private long lastArrivalAt = Instants.NEVER;

    /** Records an arrival at this instant, in microseconds. */
    public void recordArrival(long now) {
        mean =
                lastArrivalAt == Instants.NEVER
                        ? 0
                        : MovingAverage.update(
                                mean,
                                Math.min((double) (now - lastArrivalAt), MAX_INTERVAL_MICROS));
        lastArrivalAt = now;
    }

    /** Returns the mean in microseconds, or 0 if it is unknown. */
    public double meanMicros() {
        return mean;
    }
}
