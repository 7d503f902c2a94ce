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
 * Selects the server for a request: the next one of the weighted round-robin among the servers of
 * the subset that may get the request and have about the shortest queue. The selection takes time
 * linear in the size of the subset.
 */
public final class ServerSelector {

    // A server is skipped if it has more of this node's attempts than this multiple of the mean,
    // plus one.
    private static final double MAX_MEAN_ATTEMPTS_MULTIPLE = 2;
    // Queues that differ by less than this are considered equal, because load reports are not more
    // precise. With passive load reports the unit is the server's capacity, with load probes it is
    // one request.
    private static final double REPORTED_QUEUE_TOLERANCE = 0.1;
    private static final double PROBED_QUEUE_TOLERANCE = 1;
    // After this fraction of its latency objective a request is sent to a server of known load if
    // there is one, because further probing would use up its time.
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

    /** Creates a selector for the servers of a subset. */
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
     * Selects a server and marks the candidates that it was selected from. {@link #commit(Request,
     * Server)} then advances the round-robin.
     *
     * @return the server, which may have to be probed first, or null if there is no candidate
     */
    public Server select(Request request, long now) {
        double meanAttempts = outstanding.count() / (double) Math.max(1, subset.size());
        boolean hasAlternative = false;
        boolean hasFresh = false;
        for (Server server : subset.servers()) {
            boolean candidate = isCandidate(request, server, meanAttempts, now);
            server.rotation().setCandidate(candidate);
            hasAlternative |= candidate && server != request.failedServer();
            hasFresh |= candidate && loads.isFresh(server, now);
        }
        boolean onlyFresh = hasFresh && isSearchOver(request, now);
        double leastQueue = narrowCandidates(request, hasAlternative, onlyFresh, now);
        return pickNext(request, leastQueue, now);
    }

    private boolean isCandidate(Request request, Server server, double meanAttempts, long now) {
        return acceptsRequests(server, now)
                && RepeatRules.mayAttempt(request, server, now)
                && server.outstandingCount() <= MAX_MEAN_ATTEMPTS_MULTIPLE * meanAttempts + 1
                && deadlineFit.fits(request, server, now)
                && (!loadSource.usesProbes()
                        || loads.isFresh(server, now)
                        || probeBudget.permits(request, now));
    }

    private boolean acceptsRequests(Server server, long now) {
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

    // Excludes the server that failed the request if there is another one, and servers without a
    // fresh load report if onlyFresh is set. Returns the lowest queue score of the remaining
    // candidates, but at least 0.
    private double narrowCandidates(
            Request request, boolean hasAlternative, boolean onlyFresh, long now) {
        double leastQueue = Double.MAX_VALUE;
        for (Server server : subset.servers()) {
            boolean candidate =
                    server.rotation().isCandidate()
                            && (server != request.failedServer() || !hasAlternative)
                            && (!onlyFresh || loads.isFresh(server, now));
            server.rotation().setCandidate(candidate);
            if (candidate) {
                leastQueue = Math.min(leastQueue, Math.max(0, loads.queueScore(server, now)));
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
            if (loadSource.knowsLoad()
                    && !(loads.queueScore(server, now) < leastQueue + tolerance)) {
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

    // Two kinds of servers are selected up to one round of the round-robin early. Each server still
    // gets its share by weight, because a server that was selected early is selected less often
    // afterwards. One kind is the server that the request's affinity key is assigned to. The other,
    // with load probes, is a server in slow start with a send threshold. Its budget is divided
    // among many nodes, and each node's part soon goes unused if the round-robin selects another
    // server.
    private double rank(Request request, Server server, int row, long now) {
        ServerStatistics statistics = server.rotation().row(row);
        boolean preferred =
                (loadSource.usesProbes() && slowStart.hasSendThreshold(server, now))
                        || server == request.affinityServer();
        return statistics.nextRank() + (preferred ? ClassWeights.TOTAL_WEIGHT : 0);
    }

    /** Advances the round-robin when the request is sent to the server last selected for it. */
    public void commit(Request request, Server server) {
        weights.commitPick(subset.servers(), server, weights.weightsRow(request));
    }

    /**
     * Returns whether the request's next attempt may be sent to at least one server of the subset.
     */
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
