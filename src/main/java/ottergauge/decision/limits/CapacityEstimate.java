// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.limits;

/**
 * Estimates how many requests a server holds when all of its cores are busy: as many as these where
 * requests only compute, and many times as many where they wait on others most of their time. It is
 * the requests held over the busy part of the cores, summed over reports.
 */
public final class CapacityEstimate {

    // So many fully busy servers in reports make an estimate; at twice as many all is halved.
    private static final double FULL_EVIDENCE = 4;
    // What a report may be off by.
    private static final double NOISE_MARGIN = 0.3;
    private static final double MIN_CAPACITY = 1;

    private double requests;
    private double utilization;
    private boolean known;

    /**
     * Takes a report.
     *
     * @param running requests that the server executes
     * @param busyRatio busy part of its cores
     * @param weight how many ordinary reports this one is worth
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

    /** Whether reports have told enough. */
    public boolean isKnown() {
        return known;
    }

    /**
     * Returns the capacity in requests, at least 1. Evidence that is missing is made up for by the
     * capacity of others.
     */
    public double capacity(double othersCapacity) {
        double missing = Math.max(0, FULL_EVIDENCE - utilization);
        double estimate = (requests + missing * othersCapacity) / (utilization + missing);
        return Math.floor(Math.max(MIN_CAPACITY, estimate + NOISE_MARGIN));
    }
}
