// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import ottergauge.decision.api.DecisionAction.CancelAttempt;
import ottergauge.decision.api.DecisionAction.FailRequest;
import ottergauge.decision.api.DecisionAction.RejectRequest;
import ottergauge.decision.api.DecisionActionSink;
import ottergauge.decision.api.DecisionEvent.RequestArrived;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.api.RequestClass;
import ottergauge.decision.balancing.CacheAffinity;
import ottergauge.decision.balancing.ClassWeights;
import ottergauge.decision.limits.RetryBudget;
import ottergauge.decision.model.Attempt;
import ottergauge.decision.model.Request;
import ottergauge.decision.model.RequestTimes;
import ottergauge.decision.model.Server;
import ottergauge.decision.request.AdmissionControl;
import ottergauge.decision.request.ClientRetryDetector;
import ottergauge.decision.request.PendingQueue;
import ottergauge.decision.request.RepeatRules;
import ottergauge.decision.request.RequestTable;
import ottergauge.decision.selection.ServerSelector;

/** Manages each request from its arrival until it has its one final response. */
final class RequestLifecycle {

    private final RequestTable requests;
    private final PendingQueue pending;
    private final AdmissionControl admission;
    private final ClientRetryDetector clientRetries;
    private final RetryBudget retryBudget;
    private final ClassWeights weights;
    private final CacheAffinity affinity;
    private final ServerSelector selector;
    private DecisionSettings settings;

    RequestLifecycle(
            RequestTable requests,
            PendingQueue pending,
            AdmissionControl admission,
            ClientRetryDetector clientRetries,
            RetryBudget retryBudget,
            ClassWeights weights,
            CacheAffinity affinity,
            ServerSelector selector) {
        this.requests = requests;
        this.pending = pending;
        this.admission = admission;
        this.clientRetries = clientRetries;
        this.retryBudget = retryBudget;
        this.weights = weights;
        this.affinity = affinity;
        this.selector = selector;
    }

    /** Applies new settings to requests that arrive from now on. */
    void applySettings(DecisionSettings next) {
        settings = next;
    }

    /** Queues a request that has arrived, or rejects it. */
    void arrive(RequestArrived event, long now, DecisionActionSink actions) {
        RequestClass requestClass = settings.requestClasses().get(event.requestClass());
        boolean clientRetry = clientRetries.isRetry(event, requestClass, now);
        boolean hasAffinity = settings.cacheAffinity() && event.affinityKey() != 0;
        Request request =
                new Request(
                        event.id(),
                        requests.nextNumber(),
                        requestClass,
                        settings.limits(),
                        RequestTimes.of(requestClass, now, event.giveUpAt(), clientRetry),
                        clientRetry,
                        hasAffinity ? affinity.serverOf(event.affinityKey()) : null);
        requests.add(request);
        if (admission.admits(request, now)) {
            pending.add(request);
        } else {
            rejectOrFail(request, actions);
        }
    }

    /** Gives up on a request whose client has disconnected. */
    void clientDisconnected(String id, DecisionActionSink actions) {
        Request request = requests.find(id);
        if (request != null && !request.isComplete()) {
            giveUp(request, actions);
        }
    }

    /** Completes a request that got the response to an attempt that had ended before. */
    void answered(String id, DecisionActionSink actions) {
        Request request = requests.find(id);
        if (request != null && !request.isComplete()) {
            complete(request, actions);
        }
    }

    /** Records that the response has started, after which the request can't be retried. */
    void responseStarted(String id) {
        Request request = requests.find(id);
        if (request != null) {
            pending.remove(request);
            request.markResponseStarted();
        }
    }

    /**
     * Rejects or fails the pending requests that can no longer meet their deadlines. If a server
     * may already have executed the request, and a late response still has value, its deadline is
     * extended instead.
     */
    void expirePending(long now, DecisionActionSink actions) {
        while (!pending.isEmpty() && admission.cannotMeetDeadline(pending.firstByDeadline(), now)) {
            Request request = pending.firstByDeadline();
            if (!request.isCertainlyNotExecuted() && admission.extendDeadline(request, now)) {
                pending.add(request);
            } else {
                rejectOrFail(request, actions);
            }
        }
    }

    /**
     * Queues a request again after its last outstanding attempt failed, if a retry is allowed and
     * can still be in time. Otherwise rejects or fails the request.
     */
    void retryOrGiveUp(Request request, Server failed, long now, DecisionActionSink actions) {
        request.recordFailedServer(failed);
        boolean inTime =
                !admission.cannotMeetDeadline(request, now)
                        || admission.extendDeadline(request, now);
        if (inTime && isRetryAffordable(request) && selector.hasPermittedServer(request, now)) {
            pending.add(request);
        } else {
            rejectOrFail(request, actions);
        }
    }

    /** Returns whether a request might be queued again if this attempt ended without a response. */
    boolean mightRetry(Attempt attempt, long now) {
        Request request = attempt.request();
        boolean inTime =
                !admission.cannotMeetDeadline(request, now)
                        || admission.canExtendDeadline(request, now);
        return inTime && RepeatRules.mayRetryAfter(attempt, now);
    }

    // An attempt that reached no server added no load, so the retry after it needs no retry budget.
    // If it did, and many connections to all servers failed, the budget would soon be empty and
    // most requests would be rejected.
    private boolean isRetryAffordable(Request request) {
        return !request.hasReachedServer() || retryBudget.permitsRetry(weights.row(request));
    }

    /**
     * Cancels an attempt so that its request is retried, if a retry is allowed and can still be in
     * time.
     */
    void replace(Attempt attempt, long now, DecisionActionSink actions) {
        Request request = attempt.request();
        if (RepeatRules.mayReplace(attempt, now) && !admission.cannotMeetDeadline(request, now)) {
            actions.accept(new CancelAttempt(request.id(), attempt.number()));
        }
    }

    /**
     * Marks a request as complete, since it needs no further response, and cancels its outstanding
     * attempts if the limits allow it.
     */
    void complete(Request request, DecisionActionSink actions) {
        pending.remove(request);
        request.markComplete();
        if (request.limits().cancellationAllowed()) {
            for (Attempt attempt : request.outstanding()) {
                actions.accept(new CancelAttempt(request.id(), attempt.number()));
            }
        }
        requests.evictIfDone(request);
    }

    private void rejectOrFail(Request request, DecisionActionSink actions) {
        if (RepeatRules.mayReject(request)) {
            boolean advised = request.limits().retryAfterAllowed();
            long retryAfter = advised ? request.limits().maxRetryAfter() : 0;
            actions.accept(new RejectRequest(request.id(), retryAfter));
        } else {
            actions.accept(new FailRequest(request.id()));
        }
        giveUp(request, actions);
    }

    private void giveUp(Request request, DecisionActionSink actions) {
        clientRetries.recordGivenUp(request);
        complete(request, actions);
    }
}
