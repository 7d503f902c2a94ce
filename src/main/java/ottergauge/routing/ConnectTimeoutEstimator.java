// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/**
 * How long a connection may take to come up: by what earlier ones took, as TCP's retransmission
 * time-out is (RFC 6298). A machine that is cut off refuses nothing. Waited for as long as the
 * settings allow, a request lost all of its time at one such server, though it had never run and
 * could have gone to another.
 */
final class ConnectTimeoutEstimator {

    private static final double MEAN_GAIN = 1.0 / 8;
    private static final double DEVIATION_GAIN = 1.0 / 4;
    private static final double DEVIATIONS = 4;
    // Of what is usual: a busy event loop hears of some connections a turn or two late.
    private static final double SPARE = 4;
    private static final long LEAST = 20_000;
    // With so many given up and none made the usual time may have grown: the patience doubles.
    private static final int GIVEN_UP_IN_A_ROW = 8;

    private long most;
    private double mean;
    private double deviation;
    private int givenUp;

    ConnectTimeoutEstimator(long most) {
        this.most = most;
    }

    /** The longest that settings allow for from now on. */
    void atMost(long longest) {
        most = longest;
    }

    void connected(long took) {
        givenUp = 0;
        if (mean == 0) {
            mean = took;
            deviation = took / 2.0;
        } else {
            deviation += DEVIATION_GAIN * (Math.abs(took - mean) - deviation);
            mean += MEAN_GAIN * (took - mean);
        }
    }

    void failed(long took) {
        // One that is refused at once tells nothing of how long others take.
        givenUp += took >= limit() ? 1 : 0;
    }

    long limit() {
        if (mean == 0) {
            return most;
        }
        double usual = Math.max(LEAST, SPARE * (mean + DEVIATIONS * deviation));
        return (long)
                Math.min((double) most, usual * (1 << Math.min(givenUp / GIVEN_UP_IN_A_ROW, 10)));
    }
}
