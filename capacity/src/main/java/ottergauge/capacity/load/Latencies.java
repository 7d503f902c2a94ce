// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.load;

import org.HdrHistogram.Histogram;

/**
 * The results of requests.
 *
 * @param served times from the intended send time to the last byte of a response with status 200
 * @param failed number of requests that ended in any other way
 * @param sendDelays how long after its intended send time each request was sent; if the client
 *     itself sends late, its latencies say little about the target
 */
public record Latencies(Histogram served, long failed, Histogram sendDelays) {

    private static final double NANOS_PER_MILLI = 1e6;

    /** Returns a percentile, 0 to 100, of the latencies of served requests, in milliseconds. */
    public double milliseconds(double percentile) {
        return served.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }

    /** Returns a percentile, 0 to 100, of the send delays, in milliseconds. */
    public double sendDelayMilliseconds(double percentile) {
        return sendDelays.getValueAtPercentile(percentile) / NANOS_PER_MILLI;
    }
}
