// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionAction.CancelAttempt;
import ottergauge.decision.api.DecisionAction.SendAttempt;
import ottergauge.decision.api.DecisionAction.SendProbe;
import ottergauge.decision.api.DecisionEvent;
import ottergauge.decision.api.DecisionEvent.AttemptEnded;
import ottergauge.decision.api.DecisionEvent.ProbeEnded;
import ottergauge.decision.api.DecisionEvent.RequestBodySent;
import ottergauge.decision.api.DecisionEvent.RequestBodyStreaming;
import ottergauge.decision.api.DecisionView;
import ottergauge.decision.api.LoadReport;
import ottergauge.protocol.AttemptResults;
import ottergauge.routing.Effect.StartTimer;
import ottergauge.routing.Event.ServerResponse;

/**
 * Attempts and load probes, from the decision module's action to their result. Each one is started,
 * is sent if that is still allowed, and ends with one result that is reported to the decision
 * module.
 */
final class Attempts {

    private final UpstreamPool upstreams;
    private final InFlightRequests requests;
    private final UnsizedResponses unsizedResponses;
    private final SocketBudget sockets;
    private final EffectiveSettings settings;
    private final DiscoveryWatch watch;
    private final DecisionView decisions;
    private final Metrics metrics;
    private final Consumer<DecisionEvent> decisionEvents;
    private final Consumer<Effect> effects;
    private final Map<Long, Attempt> byNumber = new HashMap<>();
    private long lastNumber;

    Attempts(
            UpstreamPool upstreams,
            InFlightRequests requests,
            UnsizedResponses unsizedResponses,
            SocketBudget sockets,
            EffectiveSettings settings,
            DiscoveryWatch watch,
            DecisionView decisions,
            Metrics metrics,
            Consumer<DecisionEvent> decisionEvents,
            Consumer<Effect> effects) {
        this.upstreams = upstreams;
        this.requests = requests;
        this.unsizedResponses = unsizedResponses;
        this.sockets = sockets;
        this.settings = settings;
        this.watch = watch;
        this.decisions = decisions;
        this.metrics = metrics;
        this.decisionEvents = decisionEvents;
        this.effects = effects;
    }

    /** Starts an attempt. If it can't be started, it ends at once as not sent. */
    void start(long now, SendAttempt action) {
        InFlightRequest request = requests.get(action.id());
        int index = request == null ? 0 : request.attemptCount++;
        long remaining = request == null ? 0 : request.deadline - now;
        long limit = action.timeout() == 0 ? remaining : Math.min(remaining, action.timeout());
        boolean finished = request == null || request.finished;
        if (finished || limit <= 0 || !reserveConnection(now, action.server())) {
            decisionEvents.accept(
                    new AttemptEnded(
                            action.id(),
                            index,
                            action.server(),
                            AttemptResult.NOT_SENT,
                            0,
                            finished,
                            LoadReport.NONE));
            return;
        }
        Attempt attempt = new Attempt(++lastNumber, request, index, action.server(), now, limit);
        request.outstanding.add(attempt);
        start(now, attempt);
    }

    /** Starts a probe. If it can't be started, it ends at once as not sent. */
    void start(long now, SendProbe action) {
        if (!reserveConnection(now, action.server())) {
            decisionEvents.accept(
                    new ProbeEnded(action.server(), AttemptResult.NOT_SENT, 0, LoadReport.NONE));
            return;
        }
        // The settings define no timeout for probes; the connect timeout is long enough.
        long timeout = settings.current().connectTimeout();
        start(now, new Attempt(++lastNumber, null, 0, action.server(), now, timeout));
    }

    /** Whether the server is listed and has an idle connection, or another one may be opened. */
    private boolean reserveConnection(long now, long server) {
        return upstreams.contains(server)
                && (!upstreams.needsConnection(server) || sockets.reserve(now, 1));
    }

    private void start(long now, Attempt attempt) {
        byNumber.put(attempt.number, attempt);
        startTimeout(now, attempt);
        upstreams.start(now, attempt);
    }

    // Timers are not cancelled. One that fires before the timeout, which was postponed meanwhile,
    // is started again.
    private void startTimeout(long now, Attempt attempt) {
        if (attempt.dueAt < attempt.timerAt) {
            attempt.timerAt = attempt.dueAt;
            effects.accept(
                    new StartTimer(attempt.dueAt - now, new Timer.AttemptTimeout(attempt.number)));
        }
    }

    /**
     * Sends an attempt or probe whose connection is ready. No request to a server is written
     * without passing the check here, since the decision to send it may have been made long ago. An
     * attempt or probe that fails the check ends as not sent.
     */
    void send(long now, Attempt attempt) {
        // A finished request has no unsent attempts left.
        boolean allowed =
                attempt.isProbe()
                        || (!watch.isStale(now)
                                && decisions.mayBegin(now, attempt.request.id, attempt.index));
        if (!allowed || now >= attempt.dueAt || !upstreams.isEligible(attempt)) {
            withdraw(now, attempt);
            return;
        }
        upstreams.send(now, attempt);
        if (attempt.isStreamingRequest()) {
            decisionEvents.accept(new RequestBodyStreaming(attempt.request.id, attempt.index));
            resetStreamingTimeout(now, attempt);
        }
    }

    /** The body of a streamed request is blocked or flows again, or its last byte has arrived. */
    void bodyFlowChanged(long now, InFlightRequest request) {
        for (Attempt attempt : request.outstanding) {
            if (attempt.isStreamingRequest()) {
                resetStreamingTimeout(now, attempt);
            }
        }
    }

    // No timeout runs while the client sends the body. If its server does not accept it as fast as
    // it comes, the client may have written the last byte, and waits from then on.
    private void resetStreamingTimeout(long now, Attempt attempt) {
        InFlightRequest request = attempt.request;
        if (request.complete) {
            attempt.dueAt = Math.max(now + 1, request.deadline);
        } else {
            long dueAt = request.backlog.responseDueAt(now, request.timeout);
            attempt.dueAt = Math.max(now + 1, dueAt);
        }
        startTimeout(now, attempt);
    }

    // The backlog may have been read meanwhile.
    private static void extendStreamingTimeout(long now, Attempt attempt) {
        InFlightRequest request = attempt.request;
        attempt.dueAt = request.backlog.responseDueAt(now, request.timeout);
    }

    /** Ends an attempt that is not sent yet. */
    void withdraw(long now, Attempt attempt) {
        upstreams.abandon(now, attempt, CloseReason.CANCELLED);
        end(now, attempt, AttemptResult.NOT_SENT);
    }

    /** Cancels an attempt, if it is still outstanding. */
    void cancel(long now, CancelAttempt action) {
        InFlightRequest request = requests.get(action.id());
        if (request == null) {
            return;
        }
        for (Attempt attempt : request.outstanding) {
            if (attempt.index == action.attempt()) {
                giveUp(now, attempt, CloseReason.CANCELLED);
                end(
                        now,
                        attempt,
                        attempt.sendCompleted ? AttemptResult.CANCELLED : AttemptResult.NOT_SENT);
                return;
            }
        }
    }

    private void giveUp(long now, Attempt attempt, CloseReason reason) {
        if (!unsizedResponses.keepAsFallback(now, attempt)) {
            upstreams.abandon(now, attempt, reason);
        }
    }

    /** The head of a response of unknown length has arrived. */
    void unsizedResponseBegun(long now, Attempt attempt, int status, boolean neverRan) {
        if (unsizedResponses.begun(now, attempt, status, neverRan)) {
            startTimeout(now, attempt);
        }
    }

    /**
     * An attempt's connection was not established in time. One late connection does not show that
     * its server is unreachable; several that are overdue at the same time do.
     */
    void connectTimedOut(long now, Attempt attempt) {
        end(
                now,
                attempt,
                upstreams.hasSeveralOverdue(attempt.server)
                        ? AttemptResult.CONNECT_FAILED
                        : AttemptResult.NOT_SENT);
    }

    /** The timeout of an attempt or probe has expired; ignored if it has ended. */
    void timedOut(long now, long number) {
        Attempt attempt = byNumber.get(number);
        if (attempt == null) {
            return;
        }
        attempt.timerAt = Attempt.NO_TIMEOUT;
        if (now >= attempt.dueAt && attempt.isStreamingRequest() && !attempt.request.complete) {
            extendStreamingTimeout(now, attempt);
        }
        if (now < attempt.dueAt) {
            startTimeout(now, attempt);
        } else if (!unsizedResponses.streamAtTimeout(now, attempt)) {
            giveUp(now, attempt, CloseReason.TIMED_OUT);
            end(
                    now,
                    attempt,
                    attempt.sendCompleted ? AttemptResult.TIMED_OUT : AttemptResult.CONNECT_FAILED);
        }
    }

    /** An attempt's last byte is written. */
    void sendCompleted(long now, Attempt attempt) {
        if (attempt.isProbe()) {
            return;
        }
        metrics.attemptSent();
        if (attempt.request.streamed) {
            attempt.startedAt = now;
            attempt.dueAt =
                    Math.max(now + 1, Math.min(now + attempt.timeout, attempt.request.deadline));
            startTimeout(now, attempt);
            decisionEvents.accept(new RequestBodySent(attempt.request.id, attempt.index));
        }
    }

    /** The connection that carries an attempt has ended. */
    void connectionClosed(long now, Attempt attempt, boolean malformed) {
        // A connection that ends before the node writes to it is not treated as a failure of its
        // server.
        end(
                now,
                attempt,
                attempt.sendStarted
                        ? resultOfBrokenConnection(attempt, malformed)
                        : AttemptResult.NOT_SENT);
    }

    /**
     * The result of an attempt or a probe that got a response. One that arrives before the last
     * byte of the request is written is not an answer to it but, for instance, a second copy of the
     * previous response.
     */
    AttemptResult resultOfResponse(Attempt attempt, ServerResponse response) {
        return attempt.sendCompleted
                ? AttemptResults.ofResponse(response.status(), response.neverRan())
                : resultOfBrokenConnection(attempt, true);
    }

    // A malformed response, or a reused connection that breaks, doesn't prove that the server
    // crashed. Only a reset of a new connection is reported to the decision module as a reset,
    // which may put the server into slow start.
    private static AttemptResult resultOfBrokenConnection(Attempt attempt, boolean malformed) {
        if (!attempt.sendCompleted) {
            return AttemptResult.CONNECT_FAILED;
        }
        return malformed || attempt.connection.reused ? AttemptResult.ERROR : AttemptResult.RESET;
    }

    /** Ends an attempt or probe without a load report. */
    void end(long now, Attempt attempt, AttemptResult result) {
        end(now, attempt, result, LoadReport.NONE);
    }

    /** Ends an attempt or probe, unless it has ended before. */
    void end(long now, Attempt attempt, AttemptResult result, LoadReport report) {
        if (attempt.ended) {
            return;
        }
        attempt.ended = true;
        byNumber.remove(attempt.number);
        long elapsed = now - attempt.startedAt;
        if (attempt.isProbe()) {
            decisionEvents.accept(new ProbeEnded(attempt.server, result, elapsed, report));
            return;
        }
        InFlightRequest request = attempt.request;
        request.outstanding.remove(attempt);
        request.lastResult = result;
        request.mayHaveRun |= attempt.sendCompleted && !result.neverRan();
        decisionEvents.accept(
                new AttemptEnded(
                        request.id,
                        attempt.index,
                        attempt.server,
                        result,
                        elapsed,
                        request.finished,
                        report));
        requests.removeIfDone(now, request);
    }
}
