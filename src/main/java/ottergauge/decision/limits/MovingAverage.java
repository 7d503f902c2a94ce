// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.limits;

/** The exponentially weighted moving average of the engine: about the last ten samples count. */
public final class MovingAverage {

    /** Weight of a new sample. */
    public static final double SMOOTHING_RATIO = 0.1;

    private MovingAverage() {}

    /** Returns the mean with another sample; a mean of 0 has none yet. */
    public static double update(double mean, double sample) {
        return mean == 0 ? sample : mean + SMOOTHING_RATIO * (sample - mean);
    }
}
