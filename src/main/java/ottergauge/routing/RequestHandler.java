// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionEvent;
import ottergauge.decision.api.DecisionEvent.ClientDisconnected;
import ottergauge.decision.api.DecisionEvent.RequestAnswered;
import ottergauge.decision.api.DecisionEvent.RequestArrived;
import ottergauge.decision.api.Idempotency;
import ottergauge.decision.api.RequestClass;
import ottergauge.decision.api.RequestLimits;
import ottergauge.protocol.Content;
import ottergauge.protocol.RequestFields;
import ottergauge.routing.Effect.ReportFailedRequest;
import ottergauge.routing.Event.ClientRequest;
import ottergauge.routing.Event.ServerResponse;

/**
 * Handles clients' requests from arrival to final response. Each accepted request is passed to the
 * decision module and answered exactly once.
 */
final class RequestHandler {

    private static final String GET = "GET";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int MICROS_PER_MS = 1000;
    // An attempt must not begin later than this after its client has disconnected.
    private static final long MAX_UNSEEN_MICROS = 100_000;

    private final InFlightRequests requests;
    private final DownstreamConnections clients;
    private final Attempts attempts;
    private final UpstreamPool upstreams;
    private final StreamBudget streams;
    private final UnsizedResponses unsizedResponses;
    private final EffectiveSettings settings;
    private final Shutdown shutdown;
    private final Metrics metrics;
    private final Consumer<DecisionEvent> decisionEvents;
    private final Consumer<Effect> effects;
    private final ReportLimit failureReports = new ReportLimit();

    RequestHandler(
            InFlightRequests requests,
            DownstreamConnections clients,
            Attempts attempts,
            UpstreamPool upstreams,
            StreamBudget streams,
            UnsizedResponses unsizedResponses,
            EffectiveSettings settings,
            Shutdown shutdown,
            Metrics metrics,
            Consumer<DecisionEvent> decisionEvents,
            Consumer<Effect> effects) {
        this.requests = requests;
        this.clients = clients;
        this.attempts = attempts;
        this.upstreams = upstreams;
        this.streams = streams;
        this.unsizedResponses = unsizedResponses;
        this.settings = settings;
        this.shutdown = shutdown;
        this.metrics = metrics;
        this.decisionEvents = decisionEvents;
        this.effects = effects;
    }

    /**
     * A request has arrived completely or, if its body is streamed, up to the first part of the
     * body.
     *
     * @param ageMicros an upper bound on the time since its last byte arrived
     */
    void received(long now, long client, ClientRequest content, long ageMicros, boolean streamed) {
        RequestFields fields = content.fields();
        RequestClasses.Indexed indexed =
                settings.classes().find(fields.requestClass()).orElse(null);
        if (indexed == null) {
            clients.reject(
                    now,
                    client,
                    BAD_REQUEST,
                    "unknown request class " + quoted(fields.requestClass()));
            return;
        }
        RequestClass requestClass = indexed.requestClass();
        Idempotency idempotency = requestClass.idempotency();
        if ((streamed && idempotency == Idempotency.IDEMPOTENT)
                || !matchesClass(content, idempotency)) {
            clients.reject(
                    now,
                    client,
                    BAD_REQUEST,
                    "method, idempotency key or body do not fit class "
                            + quoted(fields.requestClass()));
            return;
        }
        if (requests.containsTraceId(now, fields.traceId())) {
            // If it were forwarded, servers could execute one request twice.
            clients.reject(now, client, CONFLICT, duplicateOf(fields.traceId()));
            return;
        }
        long timeout = fields.expiresInMs() * MICROS_PER_MS;
        if (timeout < 0) {
            timeout = requestClass.deadline();
        }
        // The timeout starts when the request's last byte arrives, however late the node reads it.
        long deadline = Math.min(shutdown.lastResponseAt(), now - ageMicros + timeout);
        accept(
                now,
                requests.add(client, requestClass, content, deadline, timeout, streamed),
                indexed.index());
    }

    private static String duplicateOf(String traceId) {
        return "a request with trace id " + quoted(traceId) + " is in flight or was executed";
    }

    private static String quoted(String value) {
        return '"' + value + '"';
    }

    private void accept(long now, InFlightRequest request, int classIndex) {
        clients.accepted(request);
        if (!request.streamed) {
            metrics.requestAccepted();
        } else if (streams.admitsRequest()) {
            streams.add(request);
        } else {
            respond(now, request.id, new Refusal(UNAVAILABLE, maxRetryAfter()));
            return;
        }
        decisionEvents.accept(
                new RequestArrived(
                        request.id,
                        classIndex,
                        request.deadline,
                        request.content.fields().retry(),
                        affinityKey(request.content)));
    }

    private long maxRetryAfter() {
        RequestLimits limits = settings.current().decisions().limits();
        return limits.retryAfterAllowed() ? limits.maxRetryAfter() : 0;
    }

    // A server can reuse the work of one request for others with the same URI.
    private static long affinityKey(ClientRequest request) {
        return request.uri().hashCode();
    }

    // The class determines the method and the key: a keyed request without its key could take
    // effect twice.
    private static boolean matchesClass(ClientRequest request, Idempotency idempotency) {
        boolean keyed = request.fields().idempotencyKey() != null;
        return switch (idempotency) {
            case IDEMPOTENT ->
                    GET.equals(request.method()) && request.content().bytes().length == 0;
            case KEYED -> !GET.equals(request.method()) && keyed;
            case NON_IDEMPOTENT -> !GET.equals(request.method()) && !keyed;
        };
    }

    /** A client sent an invalid request. */
    void invalidReceived(long now, Event.InvalidRequest event) {
        Optional<InFlightRequest> detached = clients.detach(event.client());
        if (detached.isEmpty()) {
            clients.reject(now, event.client(), event.status(), event.reason());
            return;
        }
        // It follows a request that is in flight. The client could not tell which of the two a
        // response answers.
        InFlightRequest request = detached.get();
        countAccepted(request);
        metrics.failed(request.requestClass);
        if (request.relaying != null) {
            stopRelaying(now, request, CloseReason.CLIENT_GONE);
            clients.truncate(event.client(), CloseReason.CUT_SHORT);
            return;
        }
        decisionEvents.accept(new ClientDisconnected(request.id));
        finish(now, request);
        clients.reject(now, event.client(), event.status(), event.reason());
    }

    /** Another process of the node has the trace id of a request, which must not run twice. */
    void traceIdTaken(long now, String id) {
        InFlightRequest request = requests.get(id);
        if (request == null || request.finished) {
            return;
        }
        countAccepted(request);
        metrics.failed(request.requestClass);
        decisionEvents.accept(new ClientDisconnected(id));
        finish(now, request);
        String traceId = request.content.fields().traceId();
        clients.reject(now, request.client, CONFLICT, duplicateOf(traceId));
    }

    /** The buffer for the body of a client's request has grown to this size. */
    void bodyBufferGrown(long now, long client, long bytes) {
        clients.bodyBufferGrown(now, client, bytes, UNAVAILABLE, maxRetryAfter());
    }

    /** The server of a streamed request accepts no more of it for now, or accepts it again. */
    void bodyFlowChanged(long now, long client, boolean blocked) {
        clients.bodyFlowChanged(now, client, blocked)
                .ifPresent(request -> attempts.bodyFlowChanged(now, request));
    }

    /** The last byte of a streamed request has arrived. */
    void streamCompleted(long now, long client) {
        clients.requestCompleted(client)
                .ifPresent(
                        request -> {
                            request.deadline =
                                    Math.min(
                                            shutdown.lastResponseAt(),
                                            request.backlog.lastByteNotBefore(now)
                                                    + request.timeout);
                            countAccepted(request);
                            attempts.bodyFlowChanged(now, request);
                        });
    }

    /**
     * Sends an attempt or probe, unless its client may have disconnected too long ago.
     *
     * @param clientCaughtUp whether the node has read everything that the client has sent
     */
    void send(long now, Attempt attempt, boolean clientCaughtUp) {
        if (clientCaughtUp || clients.pausedMicros(now, attempt.request) <= MAX_UNSEEN_MICROS) {
            attempts.send(now, attempt);
            return;
        }
        rejectUnfinished(now, attempt.request);
    }

    /**
     * Answers all requests that are unanswered or still arriving, since the process may soon be
     * killed. No server can have run one that is still arriving.
     */
    void endUnanswered(long now) {
        for (InFlightRequest request : requests.unfinished()) {
            if (request.complete) {
                decisionEvents.accept(new ClientDisconnected(request.id));
                respond(now, request.id, new Refusal(BAD_GATEWAY, 0));
            } else {
                rejectUnfinished(now, request);
            }
        }
        clients.rejectIncomplete(now, UNAVAILABLE, maxRetryAfter());
    }

    private void rejectUnfinished(long now, InFlightRequest request) {
        decisionEvents.accept(new ClientDisconnected(request.id));
        respond(now, request.id, new Refusal(UNAVAILABLE, maxRetryAfter()));
    }

    /** The last byte of an attempt or a probe is written. */
    void requestWritten(long now, Attempt attempt) {
        if (!attempt.isProbe() && attempt.request.relaying == null) {
            streams.remove(attempt.request);
        }
        attempts.sendCompleted(now, attempt);
    }

    // A streamed request is counted as accepted when it is complete or answered, whichever is
    // first.
    private void countAccepted(InFlightRequest request) {
        if (!request.complete) {
            request.complete = true;
            metrics.requestAccepted();
        }
    }

    /** A client's connection has ended. */
    void clientClosed(long now, long client) {
        clients.closed(client).ifPresent(request -> abandonRequest(now, request));
    }

    private void abandonRequest(long now, InFlightRequest request) {
        if (request.complete) {
            metrics.clientDisconnected();
        }
        if (request.relaying != null) {
            stopRelaying(now, request, CloseReason.CLIENT_GONE);
            return;
        }
        decisionEvents.accept(new ClientDisconnected(request.id));
        finish(now, request);
    }

    /** Whether a client still has to read of a response that makes no progress. */
    void relayChecked(long now, long client, boolean clientBehind) {
        clients.relayChecked(now, client, clientBehind)
                .ifPresent(request -> truncateSilent(now, request));
    }

    private void truncateSilent(long now, InFlightRequest request) {
        stopRelaying(now, request, CloseReason.SERVER_SILENT);
        metrics.failed(request.requestClass);
        clients.truncate(request.client, CloseReason.SERVER_SILENT);
    }

    private void stopRelaying(long now, InFlightRequest request, CloseReason reason) {
        upstreams.abandon(now, request.relaying, reason);
        relayEnded(now, request, false);
    }

    /**
     * The response to a request is no longer being relayed.
     *
     * @param complete whether all of it was passed to its client
     */
    void relayEnded(long now, InFlightRequest request, boolean complete) {
        request.relaying = null;
        metrics.relayEnded(complete);
        streams.remove(request);
        requests.removeIfDone(now, request);
    }

    /** A server has answered an attempt or a probe completely. */
    void responseReceived(long now, Attempt attempt, ServerResponse response) {
        AttemptResult result = attempts.resultOfResponse(attempt, response);
        boolean wasFallback = removeFallback(attempt);
        if (!attempt.isProbe() && result == AttemptResult.SERVED) {
            respond(now, attempt.request.id, OK, 0, response.content());
        }
        attempts.end(now, attempt, result, response.report());
        if (wasFallback) {
            decisionEvents.accept(new RequestAnswered(attempt.request.id));
        }
    }

    /** A response begins to be relayed to its client, which is its request's final response. */
    void relayStarted(long now, Attempt attempt) {
        boolean wasFallback = removeFallback(attempt);
        finish(now, attempt.request);
        attempt.request.relaying = attempt;
        if (wasFallback) {
            decisionEvents.accept(new RequestAnswered(attempt.request.id));
        }
    }

    /**
     * The connection of an attempt has ended. If it was its request's fallback, a refusal that was
     * postponed for it is sent.
     */
    void fallbackEnded(long now, Attempt attempt) {
        if (removeFallback(attempt) && attempt.request.postponedRefusal != null) {
            respond(now, attempt.request.id, attempt.request.postponedRefusal);
        }
    }

    /** A request's fallback is not waited for any longer: a postponed refusal is sent. */
    void refusePostponed(long now, String id) {
        InFlightRequest request = requests.get(id);
        if (request != null && request.postponedRefusal != null) {
            respond(now, id, request.postponedRefusal);
        }
    }

    private static boolean removeFallback(Attempt attempt) {
        boolean isFallback = !attempt.isProbe() && attempt.request.fallback == attempt;
        if (isFallback) {
            attempt.request.fallback = null;
        }
        return isFallback;
    }

    /**
     * Rejects a request that the client can safely retry, unless a response to it has begun and can
     * be streamed.
     */
    void reject(long now, String id, long retryAfterMicros) {
        refuse(now, id, new Refusal(UNAVAILABLE, retryAfterMicros));
    }

    /** Fails a request that a server may have run, with the same exception. */
    void fail(long now, String id) {
        refuse(now, id, new Refusal(BAD_GATEWAY, 0));
    }

    private void refuse(long now, String id, Refusal refusal) {
        InFlightRequest request = requests.get(id);
        if (request != null
                && !request.finished
                && !unsizedResponses.streamInsteadOf(now, request, refusal)) {
            respond(now, id, refusal);
        }
    }

    private void respond(long now, String id, Refusal refusal) {
        InFlightRequest request = requests.get(id);
        if (refusal.status() == BAD_GATEWAY && request != null && !request.finished) {
            report(now, request);
        }
        respond(now, id, refusal.status(), refusal.retryAfterMicros(), Content.NONE);
    }

    private void report(long now, InFlightRequest request) {
        failureReports
                .admit(now)
                .ifPresent(
                        suppressed ->
                                effects.accept(
                                        new ReportFailedRequest(
                                                request.content.fields().traceId(),
                                                request.requestClass.name(),
                                                request.attemptCount,
                                                Optional.ofNullable(request.lastResult),
                                                suppressed)));
    }

    private void respond(long now, String id, int status, long retryAfterMicros, Content content) {
        InFlightRequest request = requests.get(id);
        if (request == null || request.finished) {
            return;
        }
        countAccepted(request);
        request.served = status == OK;
        switch (status) {
            case OK -> metrics.completed(request.requestClass);
            case UNAVAILABLE -> metrics.rejected(request.requestClass);
            default -> metrics.failed(request.requestClass);
        }
        finish(now, request);
        clients.respond(now, request.client, status, retryAfterMicros, content, false);
    }

    /**
     * Finishes a request and withdraws its attempts whose last byte is not written yet. Attempts
     * that are already sent end with their own results.
     */
    void finish(long now, InFlightRequest request) {
        request.finished = true;
        streams.remove(request);
        unsizedResponses.dropFallback(now, request);
        // No server runs an attempt that it lacks the end of, so that it can be withdrawn even if
        // the settings do not allow cancellation. The rest of a streamed request never comes.
        for (Attempt attempt : List.copyOf(request.outstanding)) {
            if (!attempt.sendStarted || attempt.isStreamingRequest()) {
                attempts.withdraw(now, attempt);
            }
        }
        requests.removeIfDone(now, request);
    }
}
