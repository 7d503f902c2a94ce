// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.load;

import ottergauge.decision.api.LoadReport;
import ottergauge.decision.limits.CapacityEstimate;
import ottergauge.decision.model.Instants;
import ottergauge.decision.model.Server;

/**
 * Capacity of servers and of the mean server of the fleet, in requests that are executed at a time.
 * See docs/design.md, "Capacity estimate".
 */
public final class CapacityEstimates {

    /** Up to this utilization hardly a request waits for a core. */
    public static final double MAX_UNCONTENDED_UTILIZATION = 0.6;

    // Utilization is a mean over a second: of a fleet that was idle before it tells too little.
    private static final long UTILIZATION_SETTLING_MICROS = 2_000_000;
    // A rate is a mean over some time, and worth so many counts at an instant.
    private static final double RATE_REPORT_WEIGHT = 4;
    private static final double MICROS_PER_SECOND = 1e6;

    private final LoadSourceSelector loadSource;
    private final ServiceTimes serviceTimes;
    private final CapacityEstimate fleet = new CapacityEstimate();
    private long settledAt = Instants.NEVER;

    /** Creates estimates without reports. */
    public CapacityEstimates(LoadSourceSelector loadSource, ServiceTimes serviceTimes) {
        this.loadSource = loadSource;
        this.serviceTimes = serviceTimes;
    }

    /** Notes the first event of the engine. */
    public void start(long now) {
        settledAt = now + UTILIZATION_SETTLING_MICROS;
    }

    /** Whether reports have told the fleet's capacity. */
    public boolean isKnown() {
        return fleet.isKnown();
    }

    /** Returns the capacity of the fleet's mean server. */
    public double fleetMean() {
        return fleet.capacity(1);
    }

    /** Returns a server's capacity; 1 while nothing is known. */
    public double of(Server server) {
        return fleet.isKnown() ? server.load().capacity().capacity(fleet.capacity(1)) : 1;
    }

    /**
     * Takes a load report.
     *
     * @param own requests in the report that this node knows to have ended
     */
    void record(Server server, LoadReport report, int own, long now) {
        boolean queueing = report.queued() >= 1;
        boolean byRate =
                loadSource.usesReports()
                        && report.requestsPerSecond() > 0
                        && serviceTimes.mean() > 0;
        double busyRatio = queueing && !byRate ? 1 : report.utilization();
        double running = byRate ? runningByRate(report) : runningByCount(report, queueing, own);
        boolean meaningful =
                byRate
                        || queueing
                        || (busyRatio <= MAX_UNCONTENDED_UTILIZATION && now >= settledAt);
        if (busyRatio > 0 && running >= 0 && meaningful) {
            double weight = byRate ? RATE_REPORT_WEIGHT : 1;
            fleet.record(running, busyRatio, weight);
            server.load().capacity().record(running, busyRatio, weight);
        }
    }

    // Little's law, with the time that a request takes where none waits: waiting is left out.
    private double runningByRate(LoadReport report) {
        return report.requestsPerSecond() * serviceTimes.uncontendedMean() / MICROS_PER_SECOND;
    }

    private static double runningByCount(LoadReport report, boolean queueing, int own) {
        return queueing ? report.inFlight() - report.queued() : report.inFlight() - own;
    }
}
