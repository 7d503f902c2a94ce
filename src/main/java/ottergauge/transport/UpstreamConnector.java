// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpVersion;
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
import ottergauge.protocol.Paths;
import ottergauge.protocol.RequestFields;
import ottergauge.routing.CloseReason;
import ottergauge.routing.Effect.CloseUpstream;
import ottergauge.routing.Effect.ConnectUpstream;
import ottergauge.routing.Effect.Forward;
import ottergauge.routing.Effect.ProbeLoad;
import ottergauge.routing.Effect.StreamResponse;
import ottergauge.routing.Event;
import ottergauge.routing.Event.ClientRequest;
import ottergauge.routing.Event.RequestWritten;
import ottergauge.routing.Event.ResponseReceived;
import ottergauge.routing.Event.ServerResponse;
import ottergauge.routing.Event.StreamedResponseCompleted;
import ottergauge.routing.Event.StreamedResponseStarted;
import ottergauge.routing.Event.UnsizedResponseStarted;
import ottergauge.routing.Event.UpstreamClosed;
import ottergauge.routing.Event.UpstreamConnectFailed;
import ottergauge.routing.Event.UpstreamConnected;

/**
 * The side that connects to servers. The connections are not pooled here: which one carries what is
 * the router's state, so that nothing waits in a queue it does not see and nothing is sent again
 * unasked.
 */
final class UpstreamConnector {

    /** Opens a connection. */
    interface Connector {
        Future<OutboundConnection> connect(Address address, long timeoutMs);
    }

    // What came was read as far as it could be: the server is there, and its answer is none.
    private static final Set<CloseReason> SPOILT =
            EnumSet.of(CloseReason.MALFORMED, CloseReason.TOO_LARGE);

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
                .connect(effect.address(), millis(effect.timeoutMicros()))
                .onComplete(
                        connection -> {
                            connections.put(number, connection);
                            connection.whenFlows(
                                    () -> events.accept(new UnsizedResponseStarted(number)),
                                    answer ->
                                            events.accept(
                                                    new StreamedResponseStarted(
                                                            number,
                                                            read(answer, false),
                                                            connection.microsSinceHead())),
                                    reusable ->
                                            events.accept(
                                                    new StreamedResponseCompleted(
                                                            number, reusable)),
                                    () -> events.accept(new RequestWritten(number)),
                                    answer ->
                                            events.accept(
                                                    new ResponseReceived(
                                                            number, read(answer, false))));
                            connection.whenEnded(
                                    why -> {
                                        connections.remove(number);
                                        events.accept(
                                                new UpstreamClosed(number, SPOILT.contains(why)));
                                    });
                            events.accept(new UpstreamConnected(number));
                        },
                        failure -> events.accept(new UpstreamConnectFailed(number)));
    }

    void forward(Forward effect) {
        ClientRequest request = effect.request();
        byte[] body = request.content().bytes();
        HttpMethod method = HttpMethod.valueOf(request.method());
        FullHttpRequest message =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1, method, request.uri(), Unpooled.wrappedBuffer(body));
        set(message.headers(), request, millis(effect.timeoutMicros()));
        if (body.length > 0 || !HttpMethod.GET.equals(method)) {
            message.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        }
        exchange(effect.connection(), message, false);
    }

    /** The head of a request whose body flows; a length that is not known is negative. */
    static HttpRequest head(ClientRequest request, long waitsMs, String host, long length) {
        HttpRequest head =
                new DefaultHttpRequest(
                        HttpVersion.HTTP_1_1, HttpMethod.valueOf(request.method()), request.uri());
        set(head.headers(), request, waitsMs);
        head.headers().set(HttpHeaderNames.HOST, host);
        if (length >= 0) {
            head.headers().set(HttpHeaderNames.CONTENT_LENGTH, length);
        } else {
            head.headers().set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
        }
        return head;
    }

    private static void set(HttpHeaders headers, ClientRequest request, long waitsMs) {
        RequestFields fields = request.fields();
        headers.set(Headers.TRACE_ID, fields.traceId())
                .set(Headers.REQUEST_CLASS, fields.requestClass())
                .set(Headers.EXPIRES_IN_MS, Long.toString(waitsMs));
        if (fields.idempotencyKey() != null) {
            headers.set(Headers.IDEMPOTENCY_KEY, fields.idempotencyKey());
        }
        if (request.content().type() != null) {
            headers.set(HttpHeaderNames.CONTENT_TYPE, request.content().type());
        }
    }

    void askLoad(ProbeLoad effect) {
        exchange(
                effect.connection(),
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, Paths.STATS),
                true);
    }

    private void exchange(long number, FullHttpRequest message, boolean probe) {
        OutboundConnection connection = connections.get(number);
        if (connection != null) {
            message.headers().set(HttpHeaderNames.HOST, connection.address());
            connection.send(
                    message,
                    () -> events.accept(new RequestWritten(number)),
                    answer -> events.accept(new ResponseReceived(number, read(answer, probe))));
        }
    }

    private static ServerResponse read(OutboundConnection.Answer answer, boolean probe) {
        String report = answer.headers().get(Headers.LOAD);
        if (report == null && probe) {
            report = new String(answer.body(), StandardCharsets.UTF_8);
        }
        return new ServerResponse(
                answer.status(),
                "1".equals(answer.headers().get(Headers.NEVER_RAN)),
                LoadReportReader.read(report),
                new Content(answer.headers().get(HttpHeaderNames.CONTENT_TYPE), answer.body()),
                answer.reusable());
    }

    void flowNow(StreamResponse effect) {
        OutboundConnection connection = connections.get(effect.connection());
        if (connection != null) {
            connection.flowNow();
        }
    }

    OutboundConnection connection(long number) {
        return connections.get(number);
    }

    void close(CloseUpstream effect) {
        OutboundConnection connection = connections.get(effect.connection());
        if (connection != null) {
            connection.close(effect.reason());
        }
    }

    static long millis(long micros) {
        return Math.max(1, micros / 1000);
    }
}
