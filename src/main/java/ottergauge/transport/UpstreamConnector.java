// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import ottergauge.protocol.Address;
import ottergauge.protocol.Content;
import ottergauge.protocol.Headers;
import ottergauge.protocol.LoadReportReader;
import ottergauge.routing.CloseReason;
import ottergauge.routing.Effect.CloseUpstream;
import ottergauge.routing.Effect.ConnectUpstream;
import ottergauge.routing.Effect.Forward;
import ottergauge.routing.Effect.ProbeLoad;
import ottergauge.routing.Effect.StreamResponse;
import ottergauge.routing.Event;
import ottergauge.routing.Event.RequestWritten;
import ottergauge.routing.Event.ResponseReceived;
import ottergauge.routing.Event.ServerResponse;
import ottergauge.routing.Event.StreamedResponseCompleted;
import ottergauge.routing.Event.StreamedResponseStarted;
import ottergauge.routing.Event.UnsizedBodyStarted;
import ottergauge.routing.Event.UnsizedResponseProgressed;
import ottergauge.routing.Event.UnsizedResponseStarted;
import ottergauge.routing.Event.UpstreamClosed;
import ottergauge.routing.Event.UpstreamConnectFailed;
import ottergauge.routing.Event.UpstreamConnected;

/**
 * The open connections to servers, by the numbers that the router gave them. There is no connection
 * pool here: the router knows which connection carries which request. No request waits in a queue
 * that the router does not see, and none is retried unless the router says so.
 */
final class UpstreamConnector {

    /** Opens a connection to a server. */
    @FunctionalInterface
    interface Connector {
        Future<OutboundConnection> connect(Address address, long timeoutMs);
    }

    /**
     * Reasons for a connection's end after which its server still counts as reachable: the server
     * sent bytes, but the node cannot use them as a response.
     */
    private static final Set<CloseReason> MALFORMED_RESPONSE =
            EnumSet.of(CloseReason.MALFORMED, CloseReason.TOO_LARGE);

    private static final String TRUE = "1";
    private static final long MICROS_PER_MILLI = 1_000;

    private final Connector connector;
    private final Consumer<Event> events;
    private final Map<Long, OutboundConnection> connections = new HashMap<>();

    UpstreamConnector(Connector connector, Consumer<Event> events) {
        this.events = events;
        this.connector = connector;
    }

    void connect(ConnectUpstream effect) {
        long number = effect.connection();
        connector
                .connect(effect.address(), toMillis(effect.timeoutMicros()))
                .onComplete(
                        connection -> onConnected(number, connection),
                        failure -> events.accept(new UpstreamConnectFailed(number)));
    }

    private void onConnected(long number, OutboundConnection connection) {
        connections.put(number, connection);
        connection.allowStreaming(streamHandlers(number, connection));
        connection.onEnd(
                reason -> {
                    connections.remove(number);
                    boolean malformed = MALFORMED_RESPONSE.contains(reason);
                    events.accept(new UpstreamClosed(number, malformed));
                });
        events.accept(new UpstreamConnected(number));
    }

    private OutboundConnection.StreamHandlers streamHandlers(
            long number, OutboundConnection connection) {
        return new OutboundConnection.StreamHandlers(
                response ->
                        events.accept(
                                new UnsizedResponseStarted(
                                        number, response.status(), saysNeverRan(response))),
                more ->
                        events.accept(
                                more
                                        ? new UnsizedResponseProgressed(number)
                                        : new UnsizedBodyStarted(number)),
                response ->
                        events.accept(
                                new StreamedResponseStarted(
                                        number,
                                        serverResponse(response, reportOf(response)),
                                        connection.microsSinceHead())),
                reusable -> events.accept(new StreamedResponseCompleted(number, reusable)),
                () -> events.accept(new RequestWritten(number)),
                response -> onResponse(number, response, reportOf(response)));
    }

    void forward(Forward effect) {
        long number = effect.connection();
        OutboundConnection connection = connections.get(number);
        if (connection != null) {
            long timeoutMs = toMillis(effect.timeoutMicros());
            connection.identifyAttempt(effect.request().fields().traceId(), effect.attempt());
            FullHttpRequest message =
                    UpstreamRequests.complete(effect.request(), timeoutMs, connection.address());
            connection.send(
                    message,
                    () -> events.accept(new RequestWritten(number)),
                    response -> onResponse(number, response, reportOf(response)));
        }
    }

    void probeLoad(ProbeLoad effect) {
        long number = effect.connection();
        OutboundConnection connection = connections.get(number);
        if (connection != null) {
            connection.send(
                    UpstreamRequests.loadProbe(connection.address()),
                    () -> events.accept(new RequestWritten(number)),
                    response -> onResponse(number, response, probedReportOf(response)));
        }
    }

    private void onResponse(long number, OutboundConnection.Response response, String loadReport) {
        events.accept(new ResponseReceived(number, serverResponse(response, loadReport)));
    }

    private static String reportOf(OutboundConnection.Response response) {
        return response.headers().get(Headers.LOAD);
    }

    // The response to a load probe may carry the load report as its body.
    private static String probedReportOf(OutboundConnection.Response response) {
        String report = reportOf(response);
        return report == null ? new String(response.body(), StandardCharsets.UTF_8) : report;
    }

    private static ServerResponse serverResponse(
            OutboundConnection.Response response, String loadReport) {
        String type = response.headers().get(HttpHeaderNames.CONTENT_TYPE);
        return new ServerResponse(
                response.status(),
                saysNeverRan(response),
                LoadReportReader.read(loadReport),
                new Content(type, response.body()),
                response.reusable());
    }

    private static boolean saysNeverRan(OutboundConnection.Response response) {
        return TRUE.equals(response.headers().get(Headers.NEVER_RAN));
    }

    void streamResponse(StreamResponse effect) {
        OutboundConnection connection = connections.get(effect.connection());
        if (connection != null) {
            connection.streamUnsizedResponse();
        }
    }

    /** The connection of this number, or null if it has ended. */
    OutboundConnection connection(long number) {
        return connections.get(number);
    }

    void close(CloseUpstream effect) {
        OutboundConnection connection = connections.get(effect.connection());
        if (connection != null) {
            connection.close(effect.reason());
        }
    }

    /** Converts to milliseconds, rounded down, but at least 1. */
    static long toMillis(long micros) {
        return Math.max(1, micros / MICROS_PER_MILLI);
    }
}
