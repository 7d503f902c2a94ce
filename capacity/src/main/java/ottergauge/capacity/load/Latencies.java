// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.load;

import org.HdrHistogram.Histogram;

/**
 * What became of requests: the times from the intended instant to the last byte of an answer 200, and how
 * many ended otherwise.
 */
public record Latencies(Histogram served, long failed) {

    private static final double NANOS_A_MILLI = 1e6;

    /** The time within which this part of the served requests ended, in percent. */
    public double milliseconds(double percentile) {
        return served.getValueAtPercentile(percentile) / NANOS_A_MILLI;
    }
}
