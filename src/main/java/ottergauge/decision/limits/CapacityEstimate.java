// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.limits;

/**
 * Estimates how many requests a server executes concurrently when all of its cores are busy. That
 * is the number of cores if requests only compute, and many times that number if requests mostly
 * wait for other systems. The estimate is the number of requests executed divided by the busy
 * fraction of the cores, each summed over load reports.
 */
public final class CapacityEstimate {

    // The estimate is known once the busy fractions of the reports add up to more than this number,
    // or after one report that counts as several. At more than twice this number both sums are
    // halved, so that recent reports count more.
    private static final double FULL_EVIDENCE = 4;
    // Added to the estimate before it is rounded down, because a report may be too low by about
    // this number of requests.
    private static final double NOISE_MARGIN = 0.3;
    private static final double MIN_CAPACITY = 1;

    private double requests;
    private double utilization;
    private boolean known;

    /**
     * Records a load report.
     *
     * @param running number of requests that the server executes
     * @param busyRatio busy fraction of the server's cores
     * @param weight number of ordinary reports that this one counts as
     */
    public void record(double running, double busyRatio, double weight) {
        requests += weight * running;
        utilization += weight * busyRatio;
        known |= weight > 1 || utilization > FULL_EVIDENCE;
        if (utilization > 2 * FULL_EVIDENCE) {
            requests /= 2;
            utilization /= 2;
        }
    }

    /** Returns whether there have been enough load reports for an estimate. */
    public boolean isKnown() {
        return known;
    }

    /**
     * Returns the capacity in requests, at least 1. While there are too few reports, {@code
     * othersCapacity} is used in place of the missing ones.
     */
    public double capacity(double othersCapacity) {
        double missing = Math.max(0, FULL_EVIDENCE - utilization);
        double estimate = (requests + missing * othersCapacity) / (utilization + missing);
        return Math.floor(Math.max(MIN_CAPACITY, estimate + NOISE_MARGIN));
    }
}
