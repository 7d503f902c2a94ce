// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.function.Consumer;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionView;
import ottergauge.protocol.AttemptResults;
import ottergauge.routing.Effect.StartTimer;
import ottergauge.routing.Effect.StreamResponse;

/**
 * Responses of unknown length between their head and the instant at which they are complete or
 * streamed. Such a response is buffered at first, since a short one can then still be replaced by a
 * retry. Nobody can tell whether it will be long, so that it is streamed once it has gone on for a
 * while.
 *
 * <p>If its attempt is given up before that, the response becomes the request's fallback: its
 * connection stays open, and it is streamed unless another attempt is served in time. A response
 * that has begun is therefore never ended by a timeout as long as its client would otherwise get no
 * response.
 */
final class UnsizedResponses {

    // A client must not wait for 2 s for bytes that the node has.
    private static final long MAX_BUFFERING_MICROS = 1_000_000;
    private static final long MAX_FALLBACK_WAIT_MICROS = 1_500_000;
    // The first byte has to reach the client while it still waits.
    private static final long DEADLINE_MARGIN_MICROS = 50_000;
    private static final int DEADLINE_MARGIN_DIVISOR = 4;

    private final InFlightRequests requests;
    private final UpstreamPool upstreams;
    private final StreamBudget streams;
    private final Shutdown shutdown;
    private final DecisionView decisions;
    private final Consumer<Effect> effects;

    UnsizedResponses(
            InFlightRequests requests,
            UpstreamPool upstreams,
            StreamBudget streams,
            Shutdown shutdown,
            DecisionView decisions,
            Consumer<Effect> effects) {
        this.requests = requests;
        this.upstreams = upstreams;
        this.streams = streams;
        this.shutdown = shutdown;
        this.decisions = decisions;
        this.effects = effects;
    }

    /**
     * The head of a response has arrived. If it can become the response to its request, half of the
     * attempt's remaining time is left for buffering, and the attempt ends early enough for the
     * first byte to reach the client in time.
     *
     * @return whether the attempt's timeout has changed
     */
    boolean begun(long now, Attempt attempt, int status, boolean neverRan) {
        boolean served = AttemptResults.ofResponse(status, neverRan) == AttemptResult.SERVED;
        if (!served || attempt.isProbe() || !attempt.sendCompleted || attempt.request.finished) {
            return false;
        }
        attempt.responseBegunAt = now;
        long lastRelayStart = lastRelayStart(now, attempt.request);
        long endAt = Math.min(now + MAX_BUFFERING_MICROS, lastRelayStart);
        attempt.dueAt = Math.min(attempt.dueAt, Math.max(now + 1, endAt));
        effects.accept(
                new StartTimer(
                        Math.max(1, (attempt.dueAt - now) / 2),
                        new Timer.ResponseBufferTimeout(
                                attempt.connection.number, attempt.number)));
        return true;
    }

    private static long lastRelayStart(long now, InFlightRequest request) {
        long remaining = request.deadline - now;
        long margin = Math.min(DEADLINE_MARGIN_MICROS, remaining / DEADLINE_MARGIN_DIVISOR);
        return request.deadline - margin;
    }

    /** More of a response has arrived than what came with its head. */
    void progressed(Attempt attempt) {
        attempt.responseProgressed = true;
        if (attempt.bufferingOver) {
            stream(attempt);
        }
    }

    /**
     * The buffering time of the response to an attempt is over. It is streamed if it has gone on
     * since its head came, else as soon as it does. One that has not may never end: its server may
     * have failed to mark the end, and a retry would be better.
     */
    void bufferTimedOut(long connection, long attemptNumber) {
        upstreams
                .attemptOn(connection)
                .filter(attempt -> attempt.number == attemptNumber)
                .ifPresent(
                        attempt -> {
                            attempt.bufferingOver = true;
                            if (attempt.responseProgressed) {
                                stream(attempt);
                            }
                        });
    }

    /**
     * An attempt has timed out. If its response has begun and no retry is possible, the response is
     * streamed.
     *
     * @return whether it is, so that the attempt does not end
     */
    boolean streamAtTimeout(long now, Attempt attempt) {
        return attempt.hasResponseBegun()
                && !attempt.mayLackItsEnd()
                && attempt.request.fallback == null
                && !decisions.mightRetry(now, attempt.request.id, attempt.index)
                && stream(attempt);
    }

    private boolean stream(Attempt attempt) {
        if (attempt.request.finished || !streams.admitsResponse()) {
            return false;
        }
        effects.accept(new StreamResponse(attempt.connection.number));
        return true;
    }

    /**
     * Keeps the response of an attempt that is given up as the fallback of its request, if it has
     * begun and there is none yet.
     *
     * @return whether it is kept, so that its connection must not be closed
     */
    boolean keepAsFallback(long now, Attempt attempt) {
        if (!attempt.hasResponseBegun()
                || attempt.request.finished
                || attempt.request.fallback != null) {
            return false;
        }
        InFlightRequest request = attempt.request;
        request.fallback = attempt;
        attempt.bufferingOver = true;
        long lastRelayStart = lastRelayStart(now, request);
        long streamAt =
                attempt.mayLackItsEnd()
                        ? lastRelayStart
                        : Math.min(
                                attempt.responseBegunAt + MAX_FALLBACK_WAIT_MICROS, lastRelayStart);
        effects.accept(
                new StartTimer(
                        Math.max(1, streamAt - now),
                        new Timer.FallbackDue(request.id, attempt.number)));
        return true;
    }

    /**
     * No other attempt was served in time: the fallback is streamed, if there still is one, its
     * server can't have failed to mark its end, and a stream is free.
     *
     * @return whether the request has a fallback that is not streamed
     */
    boolean fallbackDue(String id, long attemptNumber) {
        InFlightRequest request = requests.get(id);
        if (request == null
                || request.fallback == null
                || request.fallback.number != attemptNumber) {
            return false;
        }
        request.fallbackDue = true;
        return request.fallback.mayLackItsEnd() || !stream(request.fallback);
    }

    /**
     * A request is to be refused. If it has a fallback, that is streamed in place of the refusal,
     * which is kept in case the fallback ends first. One that may lack its end is streamed when it
     * goes on, if it does in time.
     *
     * @return whether the refusal is postponed
     */
    boolean streamInsteadOf(long now, InFlightRequest request, Refusal refusal) {
        if (request.fallback == null || now >= shutdown.lastResponseAt()) {
            return false;
        }
        boolean waits = request.fallback.mayLackItsEnd() && !request.fallbackDue;
        if (!waits && (request.fallback.mayLackItsEnd() || !stream(request.fallback))) {
            return false;
        }
        request.postponedRefusal = refusal;
        return true;
    }

    /** Closes the connection of a request's fallback, which is no longer needed. */
    void dropFallback(long now, InFlightRequest request) {
        if (request.fallback != null) {
            Attempt dropped = request.fallback;
            request.fallback = null;
            upstreams.abandon(now, dropped, CloseReason.CANCELLED);
        }
    }
}
