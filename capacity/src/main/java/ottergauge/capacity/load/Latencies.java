// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.load;

import org.HdrHistogram.Histogram;

/**
 * What became of requests: the times from the intended instant to the last byte of an answer 200,
 * how many ended otherwise, and how late after the intended instant each was sent: a client that is
 * itself late says little of what it measures.
 */
public record Latencies(Histogram served, long failed, Histogram sendDelays) {

    private static final double NANOS_PER_MILLI = 1e6;

    /** The time within which this part of the served requests ended, in percent. */
    public double milliseconds(double percentile) {
        return served.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /** The time by which this part of the requests was sent at the latest, in percent. */
    public double sendDelayMilliseconds(double percentile) {
        return sendDelays.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }
}
