// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.load;

import ottergauge.decision.api.LoadReport;
import ottergauge.decision.balancing.ServerSubset;
import ottergauge.decision.limits.MovingAverage;
import ottergauge.decision.model.Instants;
import ottergauge.decision.model.Server;
import ottergauge.decision.model.ServerLoad;

/**
 * Estimates of how many requests servers hold, from probes, reports or this node's own attempts.
 * See docs/design.md, "Active load probes" and "Passive load reports".
 */
public final class LoadEstimates {

    // A report is fresh for this part of a service time: the load changes with as small a chance.
    private static final double FRESH_SERVICE_TIMES = 0.08;
    // A busy server stays so for this part of the work that it was seen to hold.
    private static final double BUSY_WORK_RATIO = 0.3;
    // A report is forgotten over so many service times: as seldom do others send to an idle server.
    private static final double REPORT_DECAY_SERVICE_TIMES = 10;
    // Sends of each other node, for each send of this one.
    private static final double OTHERS_SENDS_RATIO = 0.4;
    // The part of what should have ended since a report that others haven't filled up.
    private static final double ENDED_RATIO = 0.25;

    private final LoadSourceSelector loadSource;
    private final ServiceTimes serviceTimes;
    private final CapacityEstimates capacities;
    private final ProbeTracker probes;
    private final ServerSubset subset;
    private double meanReported;

    /** Creates estimates without reports. */
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
     * Takes a load report, if it tells how many requests the server holds.
     *
     * @param own 1 if it came with the response of an attempt that it still counts, else 0
     */
    public void record(Server server, LoadReport report, int own, long now) {
        if (Double.isNaN(report.inFlight())) {
            return;
        }
        ServerLoad load = server.load();
        load.recordReport(Math.max(0, Math.rint(report.inFlight()) - own), now);
        loadSource.reportReceived();
        meanReported += MovingAverage.SMOOTHING_RATIO * (load.inFlight() - meanReported);
        capacities.record(server, report, own, now);
    }

    /** Takes the report of a probe that was served. */
    public void recordProbe(Server server, LoadReport report, long now) {
        long gap = now - server.load().reportedAt();
        loadSource.compareProbes(server.probe().lastReport(), report, gap, serviceTimes.mean());
        server.probe().recordReport(report);
        record(server, report, 0, now);
        loadSource.dropStaleProbes();
        if (Double.isNaN(report.inFlight())) {
            // Taken for unknown, all servers would stand idle. See docs/design.md, "probes without
            // a load".
            server.load().assume(server.outstandingCount(), now);
        }
    }

    /** Takes an attempt that timed out after this span, in microseconds. */
    public void recordTimeout(Server server, long elapsed, long now) {
        if (loadSource.usesReports() && capacities.isKnown()) {
            // What didn't end in this time had as much work before it. See docs/design.md,
            // "timeouts as load reports".
            double implied = capacities.of(server) * elapsed / serviceTimes.mean();
            server.load().assume(Math.max(server.load().inFlight(), implied), now);
        }
    }

    /** Whether the last report of a server still tells its load. */
    public boolean isFresh(Server server, long now) {
        ServerLoad load = server.load();
        double service = serviceTimes.mean();
        long age = now - load.reportedAt();
        if (age <= FRESH_SERVICE_TIMES * Math.max(service, probes.roundTrip(server))) {
            return true;
        }
        double capacity = capacities.of(server);
        return load.inFlight() >= capacity
                && age <= BUSY_WORK_RATIO * load.inFlight() / capacity * service;
    }

    /** Returns the span after which an unknown server may be worth another probe. */
    public long freshMicros() {
        return (long) (FRESH_SERVICE_TIMES * serviceTimes.mean());
    }

    /** Returns the estimate of how many requests a server holds. */
    public double inFlight(Server server, long now) {
        return switch (loadSource.source()) {
            case PASSIVE_REPORTS -> decayed(server, now);
            case ACTIVE_PROBES ->
                    isFresh(server, now)
                            ? Math.max(server.load().inFlight(), server.outstandingCount())
                            : server.outstandingCount();
            case OWN_ATTEMPTS -> server.outstandingCount();
        };
    }

    /** Returns the estimate of how many requests a server holds that is picked now. */
    public double inFlightAtPick(Server server, long now) {
        return loadSource.usesReports()
                ? decayed(server, now)
                : Math.max(server.load().inFlight(), server.outstandingCount());
    }

    private double decayed(Server server, long now) {
        return Math.max(server.outstandingCount(), believed(server, now));
    }

    // A report loses weight until the server stands at the mean of all. Meanwhile some of its
    // requests end, and the nodes that share it send to it, in part as this node does.
    private double believed(Server server, long now) {
        ServerLoad load = server.load();
        if (load.reportedAt() == Instants.NEVER) {
            return meanReported;
        }
        double service = serviceTimes.mean();
        double age = (now - load.reportedAt()) / Math.max(1, service);
        double decayMicros =
                REPORT_DECAY_SERVICE_TIMES * Math.max(probes.roundTrip(server), service);
        double trust = Math.exp(-age * service / decayMicros);
        double change = capacities.isKnown() ? changeSinceReport(load, age) : 0;
        return Math.max(0, meanReported + trust * (load.inFlight() + change - meanReported));
    }

    private double changeSinceReport(ServerLoad load, double ageServiceTimes) {
        return OTHERS_SENDS_RATIO * load.sendsSinceReport() * (subset.nodesPerServer() - 1)
                - ENDED_RATIO * load.inFlight() * (1 - Math.exp(-ageServiceTimes));
    }

    /**
     * Returns how much a server's queue is in a request's way, to compare servers by. A reported
     * load is old, so there it counts from what chance fills anyway: the capacity less its root.
     */
    public double queueing(Server server, long now) {
        double capacity = capacities.of(server);
        return loadSource.usesReports()
                ? inFlight(server, now) / capacity - 1 + 1 / Math.sqrt(capacity)
                : inFlight(server, now) + 1 - capacity;
    }

    /** Returns the service times until a request ends at a server that holds so many. */
    public double serviceTimesToEnd(Server server, double inFlight) {
        return Math.max(1, (inFlight + 1) / capacities.of(server));
    }

    /** Returns the expected latency of a request at a server that holds so many. */
    public double expectedLatency(Server server, double inFlight, long now) {
        return serviceTimes.of(server, now) * serviceTimesToEnd(server, inFlight);
    }
}
