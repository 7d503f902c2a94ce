// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

import ottergauge.decision.limits.CapacityEstimate;

/** What this node knows about a server's load, from load reports and from its own attempts. */
public final class ServerLoad {

    private final CapacityEstimate capacity = new CapacityEstimate();
    private double inFlight;
    private int sendsSinceReport;
    private long reportedAt = Instants.NEVER;

    /**
     * Returns the number of requests at the server: the last reported or estimated number, adjusted
     * by the attempts of this node that started or finished since.
     */
    public double inFlight() {
        return inFlight;
    }

    /** Returns the number of attempts that this node has sent since the last load report. */
    public int sendsSinceReport() {
        return sendsSinceReport;
    }

    /**
     * Returns the instant of the last load report or estimate, or {@link Instants#NEVER} if there
     * was none.
     */
    public long reportedAt() {
        return reportedAt;
    }

    /** Returns the estimate of how many requests the server executes concurrently. */
    public CapacityEstimate capacity() {
        return capacity;
    }

    void attemptStarted() {
        inFlight += 1;
        sendsSinceReport++;
    }

    void attemptFinished() {
        inFlight = Math.max(0, inFlight - 1);
    }

    /** Records the load that the server reported. */
    public void recordReport(double reported, long now) {
        inFlight = reported;
        sendsSinceReport = 0;
        reportedAt = now;
    }

    /** Records a load that this node estimated without a load report. */
    public void recordEstimate(double estimated, long now) {
        inFlight = estimated;
        reportedAt = now;
    }

    /** Replaces the load with this node's own count, without changing the report time. */
    public void replaceWith(double ownCount) {
        inFlight = ownCount;
    }
}
