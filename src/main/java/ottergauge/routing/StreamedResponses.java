// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import ottergauge.decision.api.AttemptResult;
import ottergauge.routing.Event.ServerResponse;
import ottergauge.routing.Event.StreamedResponseStarted;

/** Relays responses that are too large to be buffered, or of unknown length, as they arrive. */
final class StreamedResponses {

    private final RequestHandler requests;
    private final Attempts attempts;
    private final DownstreamConnections clients;
    private final UpstreamPool upstreams;
    private final StreamBudget streams;
    private final Metrics metrics;

    StreamedResponses(
            RequestHandler requests,
            Attempts attempts,
            DownstreamConnections clients,
            UpstreamPool upstreams,
            StreamBudget streams,
            Metrics metrics) {
        this.requests = requests;
        this.attempts = attempts;
        this.clients = clients;
        this.upstreams = upstreams;
        this.streams = streams;
        this.metrics = metrics;
    }

    /**
     * A response is too large to be buffered. For the decision module the attempt ends here, so
     * that the client's reading speed does not count against the server. From now on no deadline
     * ends the response.
     */
    void started(long now, StreamedResponseStarted event) {
        upstreams.attemptOn(event.connection()).ifPresent(attempt -> started(now, attempt, event));
    }

    private void started(long now, Attempt attempt, StreamedResponseStarted event) {
        InFlightRequest request = attempt.request;
        ServerResponse response = event.response();
        // A valid response to a probe is never this large.
        AttemptResult result =
                attempt.isProbe()
                        ? AttemptResult.ERROR
                        : attempts.resultOfResponse(attempt, response);
        if (result == AttemptResult.SERVED
                && !request.finished
                && streams.admitsResponse()
                && clients.relay(now, request.client, event.connection())) {
            requests.relayStarted(now, attempt);
            metrics.relayStarted();
            streams.add(request);
        } else {
            upstreams.abandon(now, attempt, CloseReason.NOT_REUSABLE);
            requests.fallbackEnded(now, attempt);
            result = result == AttemptResult.SERVED ? AttemptResult.ERROR : result;
        }
        attempt.startedAt = Math.min(now, attempt.startedAt + event.sinceHeadMicros());
        attempts.end(now, attempt, result, response.report());
    }

    /** The last byte of a streamed response has been relayed. */
    void completed(long now, long connection, boolean reusable) {
        upstreams
                .responseCompleted(now, connection, reusable)
                .ifPresent(
                        attempt -> {
                            InFlightRequest request = attempt.request;
                            request.served = true;
                            requests.relayEnded(now, request, true);
                            metrics.completed(request.requestClass);
                            clients.relayCompleted(now, request.client);
                        });
    }

    /**
     * A connection to a server has ended; a response that was being relayed from it is truncated.
     */
    void connectionClosed(long now, Attempt attempt, boolean malformed) {
        InFlightRequest request = attempt.request;
        if (request == null || request.relaying != attempt) {
            attempts.connectionClosed(now, attempt, malformed);
            requests.fallbackEnded(now, attempt);
            return;
        }
        requests.relayEnded(now, request, false);
        metrics.failed(request.requestClass);
        clients.truncate(request.client, CloseReason.CUT_SHORT);
    }
}
