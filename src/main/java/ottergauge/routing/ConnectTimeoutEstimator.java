// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/**
 * Estimates how long an attempt should wait for a connection, from the time that earlier ones took,
 * as TCP estimates its retransmission timeout (RFC 6298). An unreachable server does not refuse
 * connections: an attempt that waited for the longest timeout would have no time left for another
 * server. Durations are in microseconds.
 */
final class ConnectTimeoutEstimator {

    private static final double MEAN_GAIN = 1.0 / 8;
    private static final double DEVIATION_GAIN = 1.0 / 4;
    private static final double DEVIATIONS = 4;
    // Multiplies the estimate, because a busy event loop notices some connections an iteration or
    // two late.
    private static final double SAFETY_FACTOR = 4;
    private static final long MIN_TIMEOUT_MICROS = 20_000;
    // After this number of timeouts in a row connections may have become slower, so the timeout
    // doubles.
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
    void connected(long elapsed) {
        timeoutsInARow = 0;
        if (mean == 0) {
            mean = elapsed;
            deviation = elapsed / 2.0;
        } else {
            deviation += DEVIATION_GAIN * (Math.abs(elapsed - mean) - deviation);
            mean += MEAN_GAIN * (elapsed - mean);
        }
    }

    /** A connection failed, or its attempt stopped waiting for it, after this time. */
    void failed(long elapsed) {
        // A connection that is refused at once does not show how long others take.
        timeoutsInARow += elapsed >= timeout() ? 1 : 0;
    }

    /** How long an attempt waits for a connection. */
    long timeout() {
        if (mean == 0) {
            return max;
        }
        double estimate =
                Math.max(MIN_TIMEOUT_MICROS, SAFETY_FACTOR * (mean + DEVIATIONS * deviation));
        int doublings = Math.min(timeoutsInARow / TIMEOUTS_PER_DOUBLING, MAX_DOUBLINGS);
        return (long) Math.min((double) max, estimate * (1 << doublings));
    }
}
