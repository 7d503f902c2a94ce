// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.protocol.Address;
import ottergauge.protocol.Content;
import ottergauge.protocol.Headers;
import ottergauge.protocol.ProtocolException;
import ottergauge.protocol.RequestFields;
import ottergauge.routing.CloseReason;
import ottergauge.routing.Effect.CloseClient;
import ottergauge.routing.Effect.NotTaken;
import ottergauge.routing.Effect.Respond;
import ottergauge.routing.Event;
import ottergauge.routing.Event.AnswerWritten;
import ottergauge.routing.Event.ClientClosed;
import ottergauge.routing.Event.ClientConnected;
import ottergauge.routing.Event.ClientRequest;
import ottergauge.routing.Event.HealthAsked;
import ottergauge.routing.Event.RequestBegan;
import ottergauge.routing.Event.RequestRead;
import ottergauge.routing.Event.RequestUnreadable;

/** The side that clients connect to. */
final class ClientSide {

    private static final Logger LOG = LoggerFactory.getLogger(ClientSide.class);
    private static final int BAD_REQUEST = 400;
    private static final int METHOD_NOT_ALLOWED = 405;
    private static final int TOO_LARGE = 413;
    private static final int URI_TOO_LONG = 414;
    private static final int HEADERS_TOO_LARGE = 431;
    private static final double MICROS = 1e6;
    // As many as a burst of clients may open before the loop comes round to accept them.
    private static final int BACKLOG = 1024;

    private final HttpServer server;
    private final Consumer<Event> events;
    private final Map<HttpConnection, Peer<HttpConnection>> peers = new HashMap<>();
    private final Map<Long, Peer<HttpConnection>> byNumber = new HashMap<>();
    private final Map<Long, HttpServerRequest> requests = new HashMap<>();
    private long lastNumber;

    ClientSide(Vertx vertx, Consumer<Event> events) {
        this.events = events;
        server = vertx.createHttpServer(new HttpServerOptions().setAcceptBacklog(BACKLOG)
            .setHandle100ContinueAutomatically(true)
            .setHttp2ClearTextEnabled(false));
        server.connectionHandler(this::connected);
        server.requestHandler(this::take);
        server.invalidRequestHandler(this::refuseMalformed);
    }

    Future<HttpServer> listen(Address address) {
        return server.listen(address.port(), address.host());
    }

    private void connected(HttpConnection connection) {
        Peer<HttpConnection> peer = new Peer<>(++lastNumber, connection);
        peers.put(connection, peer);
        byNumber.put(peer.number, peer);
        connection.exceptionHandler(peer::broke);
        connection.closeHandler(closed -> {
            peers.remove(connection);
            byNumber.remove(peer.number);
            requests.remove(peer.number);
            ConnectionLog.ended("client", connection.remoteAddress(), peer.reason());
            events.accept(new ClientClosed(peer.number));
        });
        events.accept(new ClientConnected(peer.number));
    }

    private void take(HttpServerRequest request) {
        Peer<HttpConnection> peer = peers.get(request.connection());
        if (peer == null) {
            return;
        }
        long client = peer.number;
        requests.put(client, request);
        String uri = request.uri();
        boolean get = request.method() == HttpMethod.GET;
        if (get && (Headers.READY_PATH.equals(uri) || Headers.LIVE_PATH.equals(uri))) {
            events.accept(new HealthAsked(client, Headers.READY_PATH.equals(uri)));
            return;
        }
        RequestFields fields;
        try {
            fields = RequestFields.read(request::getHeader);
        } catch (ProtocolException e) {
            refuse(peer, BAD_REQUEST, e.getMessage());
            return;
        }
        if (!get && request.method() != HttpMethod.POST) {
            refuse(peer, METHOD_NOT_ALLOWED, request.method().name());
        } else if (!RequestFields.isVisible(uri)) {
            refuse(peer, BAD_REQUEST, "the path holds other than visible characters");
        } else {
            events.accept(new RequestBegan(client));
            BodyReader.read(request,
                body -> events.accept(new RequestRead(client, new ClientRequest(fields,
                    request.method().name(), uri,
                    new Content(request.getHeader(HttpHeaders.CONTENT_TYPE), body)))),
                () -> refuse(peer, TOO_LARGE, "the body is too large"));
        }
    }

    private void refuseMalformed(HttpServerRequest request) {
        Peer<HttpConnection> peer = peers.get(request.connection());
        if (peer == null) {
            return;
        }
        requests.put(peer.number, request);
        Throwable cause = request.decoderResult().cause();
        refuse(peer, cause instanceof TooLongHttpLineException ? URI_TOO_LONG
            : cause instanceof TooLongHttpHeaderException ? HEADERS_TOO_LARGE : BAD_REQUEST,
            String.valueOf(cause));
    }

    private void refuse(Peer<HttpConnection> peer, int status, String why) {
        peer.because(CloseReason.MALFORMED);
        events.accept(new RequestUnreadable(peer.number, status, why));
    }

    void log(NotTaken effect) {
        Peer<HttpConnection> peer = byNumber.get(effect.client());
        LOG.warn("no request from {}, answered {}: {}",
            peer == null ? "a client that has gone" : peer.connection.remoteAddress(), effect.status(),
            effect.why());
    }

    void respond(Respond effect) {
        HttpServerRequest request = requests.remove(effect.client());
        Peer<HttpConnection> peer = byNumber.get(effect.client());
        if (request == null || peer == null) {
            return;
        }
        HttpServerResponse response = request.response().setStatusCode(effect.status());
        if (effect.retryAfter() > 0) {
            response.putHeader(Headers.RETRY_AFTER,
                String.format(Locale.ROOT, "%.3f", effect.retryAfter() / MICROS));
        }
        if (effect.last()) {
            response.putHeader(HttpHeaders.CONNECTION, HttpHeaders.CLOSE);
        }
        if (effect.content().type() != null) {
            response.putHeader(HttpHeaders.CONTENT_TYPE, effect.content().type());
        }
        response.end(Buffer.buffer(effect.content().bytes())).onComplete(written -> {
            events.accept(new AnswerWritten(effect.client()));
            if (effect.last()) {
                peer.close(CloseReason.NOT_REUSABLE);
            }
        });
    }

    void close(CloseClient effect) {
        Peer<HttpConnection> peer = byNumber.get(effect.client());
        if (peer != null) {
            peer.close(effect.reason());
        }
    }
}
