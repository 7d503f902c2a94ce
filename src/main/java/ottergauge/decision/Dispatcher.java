// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import ottergauge.decision.api.DecisionAction.SendAttempt;
import ottergauge.decision.api.DecisionAction.SendProbe;
import ottergauge.decision.api.DecisionActionSink;
import ottergauge.decision.balancing.ClassWeights;
import ottergauge.decision.balancing.ServerSubset;
import ottergauge.decision.health.SlowStartBudget;
import ottergauge.decision.limits.RetryBudget;
import ottergauge.decision.load.LoadEstimates;
import ottergauge.decision.load.LoadSourceSelector;
import ottergauge.decision.load.ProbeBudget;
import ottergauge.decision.load.ProbeTracker;
import ottergauge.decision.model.Attempt;
import ottergauge.decision.model.OutstandingAttempts;
import ottergauge.decision.model.Request;
import ottergauge.decision.model.Server;
import ottergauge.decision.request.PendingQueue;
import ottergauge.decision.selection.ServerSelector;

/**
 * Sends pending requests to servers, highest priority first. If a selected server's load is unknown
 * and load probes are used, it probes that server first.
 */
final class Dispatcher {

    private final PendingQueue pending;
    private final ServerSelector selector;
    private final ServerSubset subset;
    private final OutstandingAttempts outstanding;
    private final LoadSourceSelector loadSource;
    private final LoadEstimates loads;
    private final ProbeTracker probes;
    private final ProbeBudget probeBudget;
    private final SlowStartBudget slowStart;
    private final RetryBudget retryBudget;
    private final ClassWeights weights;

    Dispatcher(
            PendingQueue pending,
            ServerSelector selector,
            ServerSubset subset,
            OutstandingAttempts outstanding,
            LoadSourceSelector loadSource,
            LoadEstimates loads,
            ProbeTracker probes,
            ProbeBudget probeBudget,
            SlowStartBudget slowStart,
            RetryBudget retryBudget,
            ClassWeights weights) {
        this.pending = pending;
        this.selector = selector;
        this.subset = subset;
        this.outstanding = outstanding;
        this.loadSource = loadSource;
        this.loads = loads;
        this.probes = probes;
        this.probeBudget = probeBudget;
        this.slowStart = slowStart;
        this.retryBudget = retryBudget;
        this.weights = weights;
    }

    /**
     * Sends all pending requests that can be sent now.
     *
     * @param capacityFreed whether the current event may have freed capacity at a server. If not,
     *     requests that wait for a load probe continue to wait.
     */
    void dispatch(boolean capacityFreed, long now, DecisionActionSink actions) {
        if (pending.isEmpty()) {
            return;
        }
        for (Request request : pending.snapshot()) {
            if (!capacityFreed && isAwaitingProbe(request, now)) {
                continue;
            }
            Server server = selector.select(request, now);
            if (server == null) {
                if (blocksOthers(request, now)) {
                    return;
                }
            } else if (!loadSource.usesProbes() || loads.isFresh(server, now)) {
                send(request, server, now, actions);
            } else if (!isAwaitingProbe(request, now)) {
                probe(request, server, now, actions);
            }
        }
    }

    private boolean isAwaitingProbe(Request request, long now) {
        return request.probedServer() != null && probes.isAwaited(request.probedServer(), now);
    }

    // If no server is available to a request that may be sent to every server, none is available to
    // the requests behind it either. See docs/design.md, "head-of-line blocking".
    private boolean blocksOthers(Request request, long now) {
        return !loadSource.usesReports()
                && request.isCertainlyNotExecuted()
                && (!loadSource.usesProbes() || probeBudget.permits(request, now));
    }

    private void probe(Request request, Server server, long now, DecisionActionSink actions) {
        probeBudget.recordProbe(request, server, now);
        if (!server.probe().isInFlight()) {
            server.probe().start(now);
            actions.accept(new SendProbe(server.id()));
        }
    }

    private void send(Request request, Server server, long now, DecisionActionSink actions) {
        selector.commit(request, server);
        pending.remove(request);
        Attempt attempt = request.startAttempt(server, now, loads.inFlightAtPick(server, now));
        outstanding.start(attempt);
        subset.growIfWanted(now);
        pending.recordSend(now - outstanding.lastSentAt());
        outstanding.recordSend(now);
        server.concurrencyLimit().recordSend(now);
        countInRetryBudget(request);
        slowStart.recordSend(server, now);
        long timeout = Math.max(1, request.times().valuableUntil() - now);
        actions.accept(new SendAttempt(request.id(), server.id(), timeout));
    }

    private void countInRetryBudget(Request request) {
        if (request.attempts() == 1) {
            retryBudget.recordFirstAttempt(weights.row(request));
        } else if (request.hasReachedServer() || request.outstanding().size() > 1) {
            retryBudget.recordRetry(weights.row(request));
        }
    }
}
