// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.limits;

/**
 * The exponentially weighted moving average that the engine uses. About the last ten samples
 * determine it.
 */
public final class MovingAverage {

    /** Weight of a new sample. */
    public static final double SMOOTHING_RATIO = 0.1;

    private MovingAverage() {}

    /** Returns the mean updated with another sample. A mean of 0 stands for no samples so far. */
    public static double update(double mean, double sample) {
        return mean == 0 ? sample : mean + SMOOTHING_RATIO * (sample - mean);
    }
}
