// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.control.consensus.Consensus;
import ottergauge.control.consensus.SharedLog;

/**
 * Dispatches requests to the handlers of their calls and rejects requests that are not a valid
 * call. Used only on the event loop.
 */
final class RequestDispatcher {

    private static final Logger LOG = LoggerFactory.getLogger(RequestDispatcher.class);

    private static final String CHANGES_PATH = "/control/v1/changes";
    private static final String SNAPSHOT_PATH = "/control/v1/snapshot";
    private static final String STATUS_PATH = "/control/v1/status";

    /** The handlers to which requests are dispatched. */
    record Handlers(PendingPolls polls, SnapshotQueue snapshots, SubmissionHandler submissions) {}

    private final String processName;
    private final SharedLog log;
    private final Consensus consensus;
    private final Handlers handlers;
    private final ConnectionTracker connections;
    private final RateLimitedLogger warnings;
    private final LongSupplier clockMs;
    private final NodeStatusTable nodes = new NodeStatusTable();
    private boolean stopping;

    RequestDispatcher(
            String processName,
            SharedLog log,
            Consensus consensus,
            Handlers handlers,
            ConnectionTracker connections,
            RateLimitedLogger warnings,
            LongSupplier clockMs) {
        this.processName = processName;
        this.log = log;
        this.consensus = consensus;
        this.handlers = handlers;
        this.connections = connections;
        this.warnings = warnings;
        this.clockMs = clockMs;
    }

    /**
     * Responds to all pending polls and rejects all queued snapshot requests. From now on, rejects
     * submissions.
     */
    void stop() {
        stopping = true;
        handlers.polls().stop();
        handlers.snapshots().stop();
    }

    /** Handles a request whose request line and headers have been parsed. */
    void handle(HttpServerRequest request) {
        HttpExchange exchange = exchange(request);
        try {
            dispatch(exchange);
        } catch (HttpException e) {
            reject(exchange, e);
        } catch (RuntimeException e) {
            LOG.error("request failed: {}", e.toString(), e);
            exchange.closeAfterResponse()
                    .respond(HttpStatus.BAD_REQUEST, ErrorJson.of("the call failed"));
        }
    }

    /** Rejects a request that the HTTP decoder couldn't parse. */
    void rejectMalformed(HttpServerRequest request) {
        Throwable cause = request.decoderResult().cause();
        String causeName = cause == null ? "" : cause.getClass().getSimpleName();
        reject(
                exchange(request),
                new HttpException(statusOf(cause), "no request that can be read: " + causeName));
    }

    private static int statusOf(Throwable decoderFailure) {
        if (decoderFailure instanceof TooLongHttpLineException) {
            return HttpStatus.URI_TOO_LONG;
        }
        if (decoderFailure instanceof TooLongHttpHeaderException) {
            return HttpStatus.HEADERS_TOO_LARGE;
        }
        return HttpStatus.BAD_REQUEST;
    }

    private HttpExchange exchange(HttpServerRequest request) {
        HttpExchange exchange = new HttpExchange(request, connections, clockMs);
        return stopping ? exchange.closeAfterResponse() : exchange;
    }

    private void reject(HttpExchange exchange, HttpException reason) {
        warnings.warn(
                "rejected request from "
                        + exchange.request().remoteAddress()
                        + ": "
                        + reason.getMessage());
        exchange.closeAfterResponse().respond(reason.status(), ErrorJson.of(reason.getMessage()));
    }

    private void dispatch(HttpExchange exchange) throws HttpException {
        HttpServerRequest request = exchange.request();
        String path = request.path() == null ? "" : request.path();
        if (request.method().equals(HttpMethod.POST)) {
            dispatchPost(exchange, path);
        } else if (request.method().equals(HttpMethod.GET)) {
            RequestBody.requireNone(request);
            connections.requestReceived(request.connection(), clockMs.getAsLong());
            dispatchGet(exchange, path);
        } else {
            throw notFound();
        }
    }

    private void dispatchPost(HttpExchange exchange, String path) throws HttpException {
        if (!path.equals(CHANGES_PATH)) {
            throw notFound();
        }
        RequestBody.read(
                exchange.request(),
                body -> handleSubmission(exchange, body),
                tooLarge -> reject(exchange, tooLarge));
    }

    private void dispatchGet(HttpExchange exchange, String path) throws HttpException {
        switch (path) {
            case CHANGES_PATH -> handlePoll(exchange);
            case SNAPSHOT_PATH -> handleSnapshot(exchange);
            case STATUS_PATH -> handleStatus(exchange);
            default -> throw notFound();
        }
    }

    private static HttpException notFound() {
        return new HttpException(HttpStatus.NOT_FOUND, "no such call");
    }

    private void handlePoll(HttpExchange exchange) throws HttpException {
        ChangesRequest poll = QueryParameters.changes(exchange.request());
        poll.report().ifPresent(report -> nodes.record(report, clockMs.getAsLong()));
        if (requireLog(exchange)) {
            handlers.polls().handle(exchange, poll);
        }
    }

    private void handleSnapshot(HttpExchange exchange) throws HttpException {
        SnapshotRequest request = QueryParameters.snapshot(exchange.request());
        if (requireLog(exchange)) {
            handlers.snapshots().handle(exchange, request);
        }
    }

    // If this process has no log yet, responds with an error and returns false.
    private boolean requireLog(HttpExchange exchange) {
        if (log.position().isEmpty()) {
            exchange.respondUnavailable(ErrorJson.STARTING);
            return false;
        }
        return true;
    }

    private void handleStatus(HttpExchange exchange) {
        long oldest = log.position().isEmpty() ? 0 : log.oldest();
        long nowMs = clockMs.getAsLong();
        exchange.respond(
                HttpStatus.OK,
                StatusJson.of(
                        processName,
                        consensus.role(),
                        consensus.leader(),
                        log.position(),
                        oldest,
                        nodes.current(nowMs),
                        nowMs));
    }

    private void handleSubmission(HttpExchange exchange, Buffer body) {
        connections.requestReceived(exchange.request().connection(), clockMs.getAsLong());
        if (stopping) {
            exchange.respondUnavailable(ErrorJson.STOPPING);
        } else if (requireLog(exchange)) {
            handlers.submissions().handle(exchange, body.getBytes());
        }
    }
}
