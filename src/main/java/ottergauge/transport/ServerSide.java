// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.ConnectTimeoutException;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientConnection;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnectOptions;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.RequestOptions;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeoutException;
import java.util.function.Consumer;
import ottergauge.protocol.Content;
import ottergauge.protocol.Headers;
import ottergauge.protocol.LoadReports;
import ottergauge.protocol.RequestFields;
import ottergauge.routing.CloseReason;
import ottergauge.routing.Effect.AskLoad;
import ottergauge.routing.Effect.CloseServer;
import ottergauge.routing.Effect.Connect;
import ottergauge.routing.Effect.Forward;
import ottergauge.routing.Event;
import ottergauge.routing.Event.AnswerRead;
import ottergauge.routing.Event.ClientRequest;
import ottergauge.routing.Event.ConnectFailed;
import ottergauge.routing.Event.RequestWritten;
import ottergauge.routing.Event.ServerAnswer;
import ottergauge.routing.Event.ServerClosed;
import ottergauge.routing.Event.ServerConnected;

/**
 * The side that connects to servers. The connections are not pooled here: which one carries what is the
 * router's state, so that nothing waits in a queue it does not see and nothing is sent again unasked.
 */
final class ServerSide {

    private static final String SIDE = "server";

    private final HttpClientAgent client;
    private final Consumer<Event> events;
    private final Map<Long, Peer<HttpClientConnection>> peers = new HashMap<>();

    ServerSide(Vertx vertx, Consumer<Event> events) {
        this.events = events;
        client = vertx.createHttpClient(new HttpClientOptions().setHttp2ClearTextUpgrade(false));
    }

    void connect(Connect effect) {
        HttpConnectOptions options = new HttpConnectOptions().setHost(effect.address().host())
            .setPort(effect.address().port()).setConnectTimeout(millis(effect.timeout()));
        client.connect(options).onComplete(connection -> connected(effect.connection(), connection),
            failure -> {
                ConnectionLog.ended(SIDE, effect.address(), isTimeout(failure) ? CloseReason.CONNECT_TIMEOUT
                    : CloseReason.CONNECT_FAILED);
                events.accept(new ConnectFailed(effect.connection()));
            });
    }

    private static boolean isTimeout(Throwable failure) {
        return failure instanceof ConnectTimeoutException || failure instanceof TimeoutException;
    }

    private void connected(long number, HttpClientConnection connection) {
        Peer<HttpClientConnection> peer = new Peer<>(number, connection);
        peers.put(number, peer);
        connection.exceptionHandler(peer::broke);
        connection.closeHandler(closed -> {
            peers.remove(number);
            ConnectionLog.ended(SIDE, connection.remoteAddress(), peer.reason());
            events.accept(new ServerClosed(number));
        });
        events.accept(new ServerConnected(number));
    }

    void forward(Forward effect) {
        ClientRequest request = effect.request();
        RequestFields fields = request.fields();
        RequestOptions options = new RequestOptions().setMethod(HttpMethod.valueOf(request.method()))
            .setURI(request.uri())
            .putHeader(Headers.TRACE_ID, fields.traceId())
            .putHeader(Headers.REQUEST_CLASS, fields.requestClass())
            .putHeader(Headers.EXPIRES_IN_MS, Long.toString(millis(effect.waits())));
        if (fields.idempotencyKey() != null) {
            options.putHeader(Headers.IDEMPOTENCY_KEY, fields.idempotencyKey());
        }
        if (request.content().type() != null) {
            options.putHeader(HttpHeaders.CONTENT_TYPE, request.content().type());
        }
        exchange(effect.connection(), options, request.content().bytes(), false);
    }

    void askLoad(AskLoad effect) {
        exchange(effect.connection(),
            new RequestOptions().setMethod(HttpMethod.GET).setURI(Headers.STATS_PATH),
            Content.NONE.bytes(), true);
    }

    private void exchange(long number, RequestOptions options, byte[] body, boolean probe) {
        Peer<HttpClientConnection> peer = peers.get(number);
        if (peer == null) {
            return;
        }
        peer.connection.request(options).onComplete(request -> {
            request.response().onComplete(response -> read(peer, response, probe),
                broken -> peer.close(CloseReason.MALFORMED));
            boolean bodiless = body.length == 0 && request.getMethod() == HttpMethod.GET;
            (bodiless ? request.end() : request.end(Buffer.buffer(body)))
                .onSuccess(written -> events.accept(new RequestWritten(number)));
        }, closed -> peer.close(CloseReason.RESET));
    }

    private void read(Peer<HttpClientConnection> peer, HttpClientResponse response, boolean probe) {
        boolean reusable = !HttpHeaders.CLOSE.toString()
            .equalsIgnoreCase(response.getHeader(HttpHeaders.CONNECTION));
        boolean neverRan = "1".equals(response.getHeader(Headers.NEVER_RAN));
        String report = response.getHeader(Headers.LOAD);
        String type = response.getHeader(HttpHeaders.CONTENT_TYPE);
        response.exceptionHandler(broken -> peer.close(CloseReason.RESET));
        BodyReader.read(response, body -> {
            String load = report == null && probe ? new String(body, StandardCharsets.UTF_8)
                : report;
            events.accept(new AnswerRead(peer.number, new ServerAnswer(response.statusCode(), neverRan,
                LoadReports.read(load), new Content(type, body), reusable)));
        }, () -> peer.close(CloseReason.MALFORMED));
    }

    void close(CloseServer effect) {
        Peer<HttpClientConnection> peer = peers.get(effect.connection());
        if (peer != null) {
            peer.close(effect.reason());
        }
    }

    private static long millis(long micros) {
        return Math.max(1, micros / 1000);
    }
}
