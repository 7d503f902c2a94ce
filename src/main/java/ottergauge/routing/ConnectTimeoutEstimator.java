// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/**
 * Estimates how long an attempt should wait for a connection, from the time that earlier ones took,
 * as TCP estimates its retransmission timeout (RFC 6298). An unreachable server refuses nothing: an
 * attempt that waited for the longest timeout would have no time left for another server. Spans are
 * microseconds.
 */
final class ConnectTimeoutEstimator {

    private static final double MEAN_GAIN = 1.0 / 8;
    private static final double DEVIATION_GAIN = 1.0 / 4;
    private static final double DEVIATIONS = 4;
    // A busy event loop notices some connections an iteration or two late.
    private static final double SAFETY_FACTOR = 4;
    private static final long MIN_TIMEOUT_MICROS = 20_000;
    // After so many timeouts in a row the usual time may have grown: the timeout doubles.
    private static final int TIMEOUTS_PER_DOUBLING = 8;
    private static final int MAX_DOUBLINGS = 10;

    private long max;
    private double mean;
    private double deviation;
    private int timeoutsInARow;

    ConnectTimeoutEstimator(long max) {
        this.max = max;
    }

    /** Sets the longest timeout. */
    void setMax(long longest) {
        max = longest;
    }

    /** A connection was established after this time. */
    void connected(long took) {
        timeoutsInARow = 0;
        if (mean == 0) {
            mean = took;
            deviation = took / 2.0;
        } else {
            deviation += DEVIATION_GAIN * (Math.abs(took - mean) - deviation);
            mean += MEAN_GAIN * (took - mean);
        }
    }

    /** A connection failed, or was no longer waited for, after this time. */
    void failed(long took) {
        // One that is refused at once says nothing of how long others take.
        timeoutsInARow += took >= timeout() ? 1 : 0;
    }

    /** How long an attempt waits for a connection. */
    long timeout() {
        if (mean == 0) {
            return max;
        }
        double usual =
                Math.max(MIN_TIMEOUT_MICROS, SAFETY_FACTOR * (mean + DEVIATIONS * deviation));
        int doublings = Math.min(timeoutsInARow / TIMEOUTS_PER_DOUBLING, MAX_DOUBLINGS);
        return (long) Math.min((double) max, usual * (1 << doublings));
    }
}
