// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

import ottergauge.decision.limits.CapacityEstimate;

/** What is known of a server's load, by its reports and by this node's own attempts. */
public final class ServerLoad {

    private final CapacityEstimate capacity = new CapacityEstimate();
    private double inFlight;
    private int sendsSinceReport;
    private long reportedAt = Instants.NEVER;

    /** Returns the requests at the server as last reported, and this node's changes since. */
    public double inFlight() {
        return inFlight;
    }

    /** Returns how many attempts this node has sent since the last report. */
    public int sendsSinceReport() {
        return sendsSinceReport;
    }

    /** Returns the instant of the last report; {@link Instants#NEVER} if there was none. */
    public long reportedAt() {
        return reportedAt;
    }

    /** Returns the estimate of how many requests the server executes at a time. */
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

    /** Takes the load that the server reported. */
    public void recordReport(double reported, long now) {
        inFlight = reported;
        sendsSinceReport = 0;
        reportedAt = now;
    }

    /** Takes a load that this node concluded without a report, as of now. */
    public void assume(double concluded, long now) {
        inFlight = concluded;
        reportedAt = now;
    }

    /** Replaces the reported load by this node's own count, and leaves its age. */
    public void replaceBy(double ownCount) {
        inFlight = ownCount;
    }
}
