// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.load;

import ottergauge.decision.limits.MovingAverage;
import ottergauge.decision.limits.WarmUpSchedule;
import ottergauge.decision.model.Server;

/**
 * Estimates how long servers take to execute a request, without queueing, in microseconds. A
 * server's estimate is the fleet's mean times the ratio of the server's service time to the
 * fleet's. A separate mean per server would be updated by too few responses to follow quickly when
 * the entire fleet becomes slow.
 */
public final class ServiceTimes {

    // Until a warming server has responded, its assumed speed is this multiple of the minimum speed
    // in the warm-up schedule.
    private static final double ASSUMED_WARM_UP_MULTIPLE = 1.5;

    private final WarmUpSchedule warmUp;
    private double mean;
    private double uncontendedMean;

    /** Creates estimates without samples. */
    public ServiceTimes(WarmUpSchedule warmUp) {
        this.warmUp = warmUp;
    }

    /** Returns whether there is a sample. */
    public boolean isKnown() {
        return mean != 0;
    }

    /** Returns the fleet's mean service time, or 0 if it is unknown. */
    public double mean() {
        return mean;
    }

    /**
     * Returns the fleet's mean service time at servers with idle cores, or the mean of all servers
     * if that is unknown.
     */
    public double uncontendedMean() {
        return uncontendedMean > 0 ? uncontendedMean : mean;
    }

    /** Returns a server's service time. See docs/design.md, "Service times". */
    public double of(Server server, long now) {
        double relative = server.relativeServiceTime();
        double warmUpFactor = warmUp.factor(server.slowStart().startedAt(), now);
        if (warmUpFactor >= 1) {
            return mean * (relative > 0 ? relative : 1);
        }
        double assumed = 1 / Math.min(1, ASSUMED_WARM_UP_MULTIPLE * warmUpFactor);
        return mean * (relative > 0 ? Math.min(relative, 1 / warmUpFactor) : assumed);
    }

    /** Records the service time of an attempt at a server. */
    public void record(Server server, double serviceTime) {
        mean = MovingAverage.update(mean, serviceTime);
        server.recordRelativeServiceTime(serviceTime / mean);
    }

    /** Records the latency of an attempt at a server with idle cores. */
    public void recordUncontended(long latency) {
        uncontendedMean = MovingAverage.update(uncontendedMean, (double) latency);
    }
}
