// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.load;

import ottergauge.decision.api.LoadReport;
import ottergauge.decision.limits.CapacityEstimate;
import ottergauge.decision.model.Instants;
import ottergauge.decision.model.Server;

/**
 * Capacity of each server and mean capacity of the fleet, in requests executed concurrently. See
 * docs/design.md, "Capacity estimate".
 */
public final class CapacityEstimates {

    /** Up to this utilization almost no request waits for a free core. */
    public static final double MAX_UNCONTENDED_UTILIZATION = 0.6;

    // Servers report their mean utilization over the last second. Right after the first requests
    // that second is still mostly idle time, so the figure is too low to use.
    private static final long UTILIZATION_SETTLING_MICROS = 2_000_000;
    // A reported request rate is a mean over some time. It counts as much as this number of reports
    // of the requests held at one instant.
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

    /** Records the instant of the engine's first event. */
    public void start(long now) {
        settledAt = now + UTILIZATION_SETTLING_MICROS;
    }

    /** Returns whether enough load reports have come to estimate the fleet's capacity. */
    public boolean isKnown() {
        return fleet.isKnown();
    }

    /** Returns the mean capacity of the fleet's servers. */
    public double fleetMean() {
        return fleet.capacity(1);
    }

    /** Returns a server's capacity, or 1 while the fleet's capacity is unknown. */
    public double of(Server server) {
        return fleet.isKnown() ? server.load().capacity().capacity(fleet.capacity(1)) : 1;
    }

    /**
     * Records a load report.
     *
     * @param endedAttempts attempts that the report still counts although this node knows that they
     *     have ended
     */
    void record(Server server, LoadReport report, int endedAttempts, long now) {
        boolean queueing = report.queued() >= 1;
        boolean byRate =
                loadSource.usesReports()
                        && report.requestsPerSecond() > 0
                        && serviceTimes.mean() > 0;
        double busyRatio = queueing && !byRate ? 1 : report.utilization();
        double running =
                byRate ? runningByRate(report) : runningByCount(report, queueing, endedAttempts);
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

    // Little's law with the uncontended service time, so that waiting requests aren't counted.
    private double runningByRate(LoadReport report) {
        return report.requestsPerSecond() * serviceTimes.uncontendedMean() / MICROS_PER_SECOND;
    }

    private static double runningByCount(LoadReport report, boolean queueing, int endedAttempts) {
        return queueing ? report.inFlight() - report.queued() : report.inFlight() - endedAttempts;
    }
}
