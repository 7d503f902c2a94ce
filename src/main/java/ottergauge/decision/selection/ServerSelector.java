// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.selection;

import ottergauge.decision.api.EndpointState;
import ottergauge.decision.balancing.ClassWeights;
import ottergauge.decision.balancing.ServerSubset;
import ottergauge.decision.health.SlowStartBudget;
import ottergauge.decision.load.LoadEstimates;
import ottergauge.decision.load.LoadSourceSelector;
import ottergauge.decision.load.ProbeBudget;
import ottergauge.decision.load.ProbeTracker;
import ottergauge.decision.load.ServiceTimes;
import ottergauge.decision.model.OutstandingAttempts;
import ottergauge.decision.model.Request;
import ottergauge.decision.model.Server;
import ottergauge.decision.model.ServerStatistics;
import ottergauge.decision.request.RepeatRules;

/**
 * Selects the server for a request: the next one of the weighted round-robin among those of the
 * subset that may take it and are about the least loaded. Linear in the size of the subset.
 */
public final class ServerSelector {

    // A server is skipped with more attempts of this node than this multiple of the mean, plus one.
    private static final double MAX_MEAN_ATTEMPTS_MULTIPLE = 2;
    // Reported loads that differ by less are taken for equal: no report tells as exactly.
    private static final double REPORTED_QUEUE_TOLERANCE = 0.1;
    private static final double PROBED_QUEUE_TOLERANCE = 1;
    // After this part of its objective a request takes a known server: a search uses up time.
    private static final double MAX_SEARCH_RATIO = 0.1;

    private final ServerSubset subset;
    private final ClassWeights weights;
    private final OutstandingAttempts outstanding;
    private final LoadSourceSelector loadSource;
    private final ServiceTimes serviceTimes;
    private final LoadEstimates loads;
    private final ProbeTracker probes;
    private final ProbeBudget probeBudget;
    private final SlowStartBudget slowStart;
    private final DeadlineFit deadlineFit;

    /** Creates a selector from the servers of a subset. */
    public ServerSelector(
            ServerSubset subset,
            ClassWeights weights,
            OutstandingAttempts outstanding,
            LoadSourceSelector loadSource,
            ServiceTimes serviceTimes,
            LoadEstimates loads,
            ProbeTracker probes,
            ProbeBudget probeBudget,
            SlowStartBudget slowStart,
            DeadlineFit deadlineFit) {
        this.subset = subset;
        this.weights = weights;
        this.outstanding = outstanding;
        this.loadSource = loadSource;
        this.serviceTimes = serviceTimes;
        this.loads = loads;
        this.probes = probes;
        this.probeBudget = probeBudget;
        this.slowStart = slowStart;
        this.deadlineFit = deadlineFit;
    }

    /**
     * Selects a server and marks the candidates that it was selected from; {@link #commit(Request,
     * Server)} makes it the picked one.
     *
     * @return the server, which may have to be probed first; null if there is no candidate
     */
    public Server select(Request request, long now) {
        double meanAttempts = outstanding.count() / (double) Math.max(1, subset.size());
        boolean hasOther = false;
        boolean hasFresh = false;
        for (Server server : subset.servers()) {
            boolean candidate = isCandidate(request, server, meanAttempts, now);
            server.rotation().setCandidate(candidate);
            hasOther |= candidate && server != request.failedServer();
            hasFresh |= candidate && loads.isFresh(server, now);
        }
        boolean onlyFresh = hasFresh && isSearchOver(request, now);
        double leastQueue = narrow(request, hasOther, onlyFresh, now);
        return pickNext(request, leastQueue, now);
    }

    private boolean isCandidate(Request request, Server server, double meanAttempts, long now) {
        return isOpen(server, now)
                && RepeatRules.mayAttempt(request, server, now)
                && server.outstandingCount() <= MAX_MEAN_ATTEMPTS_MULTIPLE * meanAttempts + 1
                && deadlineFit.fits(request, server, now)
                && (!loadSource.usesProbes()
                        || loads.isFresh(server, now)
                        || probeBudget.permits(request, now));
    }

    private boolean isOpen(Server server, long now) {
        return server.state() == EndpointState.UP
                && !server.health().isEjected(now)
                && !probes.isUnresponsive(server, now)
                && (server.health().ejections() == 0 || server.outstandingCount() == 0)
                && (loadSource.knowsLoad()
                        || server.concurrencyLimit()
                                .permits(now, server.outstandingCount(), serviceTimes.mean()))
                && slowStart.permitsSend(server, now);
    }

    private boolean isSearchOver(Request request, long now) {
        return loadSource.usesProbes()
                && now - request.times().arrivedAt()
                        > MAX_SEARCH_RATIO * request.requestClass().latencyObjective();
    }

    // Leaves out the server that failed the request, and perhaps those of unknown load.
    private double narrow(Request request, boolean hasOther, boolean onlyFresh, long now) {
        double leastQueue = Double.MAX_VALUE;
        for (Server server : subset.servers()) {
            boolean candidate =
                    server.rotation().isCandidate()
                            && (server != request.failedServer() || !hasOther)
                            && (!onlyFresh || loads.isFresh(server, now));
            server.rotation().setCandidate(candidate);
            if (candidate) {
                leastQueue = Math.min(leastQueue, Math.max(0, loads.queueing(server, now)));
            }
        }
        return leastQueue;
    }

    private Server pickNext(Request request, double leastQueue, long now) {
        int row = weights.weightsRow(request);
        double tolerance =
                loadSource.usesReports() ? REPORTED_QUEUE_TOLERANCE : PROBED_QUEUE_TOLERANCE;
        Server best = null;
        double bestRank = 0;
        for (Server server : subset.servers()) {
            if (!server.rotation().isCandidate()) {
                continue;
            }
            if (loadSource.knowsLoad() && !(loads.queueing(server, now) < leastQueue + tolerance)) {
                server.rotation().setCandidate(false);
                continue;
            }
            double rank = rank(request, server, row, now);
            if (best == null || rank > bestRank) {
                best = server;
                bestRank = rank;
            }
        }
        return best;
    }

    // A key's server may go one full turn early: the rotation still gives each its weight's turns.
    // So does a warming server that has drawn, since budgets that many nodes keep are soon unused.
    private double rank(Request request, Server server, int row, long now) {
        ServerStatistics statistics = server.rotation().row(row);
        boolean early =
                (loadSource.usesProbes() && slowStart.hasDraw(server, now))
                        || server == request.affinityServer();
        return statistics.nextRank() + (early ? ClassWeights.TOTAL_WEIGHT : 0);
    }

    /** Makes the server that was selected last for a request the picked one. */
    public void commit(Request request, Server server) {
        weights.commitPick(subset.servers(), server, weights.weightsRow(request));
    }

    /** Whether the rules let any server of the subset have the request's next attempt. */
    public boolean hasPermittedServer(Request request, long now) {
        for (Server server : subset.servers()) {
            if (server.state() == EndpointState.UP
                    && RepeatRules.mayAttempt(request, server, now)) {
                return true;
            }
        }
        return false;
    }
}
