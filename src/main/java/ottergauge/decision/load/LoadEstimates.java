// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.load;

import ottergauge.decision.api.LoadReport;
import ottergauge.decision.balancing.ServerSubset;
import ottergauge.decision.limits.MovingAverage;
import ottergauge.decision.model.Instants;
import ottergauge.decision.model.Server;
import ottergauge.decision.model.ServerLoad;

/**
 * Estimates how many requests servers hold, from load probes, load reports or the node's own
 * attempts. See docs/design.md, "Active load probes" and "Passive load reports".
 */
public final class LoadEstimates {

    // A load report is fresh for this fraction of a service time, or of the round-trip time if that
    // is longer. The probability that the server's load changes within that time is about the same
    // fraction.
    private static final double FRESH_REPORT_SERVICE_TIMES = 0.08;
    // A server that was reported busy is assumed to stay busy for this fraction of the time that it
    // needs for the requests it held.
    private static final double BUSY_WORK_RATIO = 0.3;
    // Time constant, in service times, of the exponential decay of a load report's weight. If the
    // report shows an idle server, another node sends to that server only after about this time.
    private static final double REPORT_DECAY_SERVICE_TIMES = 10;
    // Assumed number of attempts that each other node has sent to a server since its last load
    // report, for each attempt that this node has sent to it.
    private static final double OTHERS_SENDS_RATIO = 0.4;
    // Since a load report, some of the reported requests have ended, and other nodes have sent new
    // ones in place of most of them. This fraction of the ended requests is assumed not to have
    // been replaced.
    private static final double UNREPLACED_RATIO = 0.25;

    private final LoadSourceSelector loadSource;
    private final ServiceTimes serviceTimes;
    private final CapacityEstimates capacities;
    private final ProbeTracker probes;
    private final ServerSubset subset;
    private double meanReported;

    /** Creates estimates without any load reports. */
    public LoadEstimates(
            LoadSourceSelector loadSource,
            ServiceTimes serviceTimes,
            CapacityEstimates capacities,
            ProbeTracker probes,
            ServerSubset subset) {
        this.loadSource = loadSource;
        this.serviceTimes = serviceTimes;
        this.capacities = capacities;
        this.probes = probes;
        this.subset = subset;
    }

    /**
     * Records a load report, unless the number of requests in flight is missing from it.
     *
     * @param endedAttempts 1 if the report came with the response of an attempt and still counts
     *     that attempt, else 0
     */
    public void record(Server server, LoadReport report, int endedAttempts, long now) {
        if (Double.isNaN(report.inFlight())) {
            return;
        }
        ServerLoad load = server.load();
        load.recordReport(Math.max(0, Math.rint(report.inFlight()) - endedAttempts), now);
        loadSource.reportReceived();
        meanReported += MovingAverage.SMOOTHING_RATIO * (load.inFlight() - meanReported);
        capacities.record(server, report, endedAttempts, now);
    }

    /** Records the load report of a successful probe. */
    public void recordProbe(Server server, LoadReport report, long now) {
        long gap = now - server.load().reportedAt();
        loadSource.compareProbes(server.probe().lastReport(), report, gap, serviceTimes.mean());
        server.probe().recordReport(report);
        record(server, report, 0, now);
        loadSource.dropStaleProbes();
        if (Double.isNaN(report.inFlight())) {
            // A probe's response without a load counts as this node's own number of attempts. If
            // the load stayed unknown, no server would be sent a request. See docs/design.md,
            // "probes without a load".
            server.load().recordEstimate(server.outstandingCount(), now);
        }
    }

    /** Records an attempt that timed out after this time span, in microseconds. */
    public void recordTimeout(Server server, long elapsed, long now) {
        if (loadSource.usesReports() && capacities.isKnown()) {
            // An attempt that didn't end in this time waited for about as many requests as the
            // server executes in this time. See docs/design.md, "timeouts as load reports".
            double implied = capacities.of(server) * elapsed / serviceTimes.mean();
            server.load().recordEstimate(Math.max(server.load().inFlight(), implied), now);
        }
    }

    /**
     * Returns whether a server's last load report is recent enough to select the server by it. A
     * report that showed a busy server is used for longer, until the server may have become idle.
     */
    public boolean isFresh(Server server, long now) {
        ServerLoad load = server.load();
        double service = serviceTimes.mean();
        long age = now - load.reportedAt();
        if (age <= FRESH_REPORT_SERVICE_TIMES * Math.max(service, probes.roundTrip(server))) {
            return true;
        }
        double capacity = capacities.of(server);
        return load.inFlight() >= capacity
                && age <= BUSY_WORK_RATIO * load.inFlight() / capacity * service;
    }

    /** Returns the time span after which a server of unknown load may be probed again. */
    public long reportFreshnessMicros() {
        return (long) (FRESH_REPORT_SERVICE_TIMES * serviceTimes.mean());
    }

    /** Returns the estimated number of requests that a server holds. */
    public double inFlight(Server server, long now) {
        return switch (loadSource.source()) {
            case PASSIVE_REPORTS -> inFlightFromReports(server, now);
            case ACTIVE_PROBES ->
                    isFresh(server, now)
                            ? Math.max(server.load().inFlight(), server.outstandingCount())
                            : server.outstandingCount();
            case OWN_ATTEMPTS -> server.outstandingCount();
        };
    }

    /**
     * Returns the estimated number of requests held by a server that has just been selected. With
     * load probes its last report counts even if it is no longer fresh.
     */
    public double inFlightAtPick(Server server, long now) {
        return loadSource.usesReports()
                ? inFlightFromReports(server, now)
                : Math.max(server.load().inFlight(), server.outstandingCount());
    }

    private double inFlightFromReports(Server server, long now) {
        return Math.max(server.outstandingCount(), decayedLoad(server, now));
    }

    // The weight of a load report decays with its age, so that the estimate approaches the moving
    // average of all servers' reports. The estimate also accounts for requests that have ended
    // since the report and for those that the other nodes have sent.
    private double decayedLoad(Server server, long now) {
        ServerLoad load = server.load();
        if (load.reportedAt() == Instants.NEVER) {
            return meanReported;
        }
        double service = serviceTimes.mean();
        double age = (now - load.reportedAt()) / Math.max(1, service);
        double decayMicros =
                REPORT_DECAY_SERVICE_TIMES * Math.max(probes.roundTrip(server), service);
        double reportWeight = Math.exp(-age * service / decayMicros);
        double change = capacities.isKnown() ? changeSinceReport(load, age) : 0;
        return Math.max(0, meanReported + reportWeight * (load.inFlight() + change - meanReported));
    }

    private double changeSinceReport(ServerLoad load, double ageServiceTimes) {
        return OTHERS_SENDS_RATIO * load.sendsSinceReport() * (subset.nodesPerServer() - 1)
                - UNREPLACED_RATIO * load.inFlight() * (1 - Math.exp(-ageServiceTimes));
    }

    /**
     * Returns a measure of a server's queue, by which servers are compared. With load probes it is
     * the number of requests that would wait at the server if one more were sent. A load from
     * passive reports is outdated, and random arrivals alone fill a server up to about its capacity
     * less the square root of its capacity. With passive reports the measure is therefore how far
     * the load exceeds that level, as a fraction of the capacity.
     */
    public double queueScore(Server server, long now) {
        double capacity = capacities.of(server);
        return loadSource.usesReports()
                ? inFlight(server, now) / capacity - 1 + 1 / Math.sqrt(capacity)
                : inFlight(server, now) + 1 - capacity;
    }

    /**
     * Returns the expected latency of a request, in service times of the server.
     *
     * @param inFlight number of requests that the server holds already
     */
    public double serviceTimesToEnd(Server server, double inFlight) {
        return Math.max(1, (inFlight + 1) / capacities.of(server));
    }

    /**
     * Returns the expected latency of a request at a server, in microseconds.
     *
     * @param inFlight number of requests that the server holds already
     */
    public double expectedLatency(Server server, double inFlight, long now) {
        return serviceTimes.of(server, now) * serviceTimesToEnd(server, inFlight);
    }
}
