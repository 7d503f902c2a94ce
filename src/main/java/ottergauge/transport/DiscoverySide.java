// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.protocol.Address;
import ottergauge.protocol.Headers;
import ottergauge.protocol.HostList;
import ottergauge.protocol.ProtocolException;
import ottergauge.routing.Effect.CallDiscovery;
import ottergauge.routing.Event;
import ottergauge.routing.Event.ListCallFailed;
import ottergauge.routing.Event.ListRead;

/** The calls to discovery: one at a time, on one connection to each address. */
final class DiscoverySide {

    private static final Logger LOG = LoggerFactory.getLogger(DiscoverySide.class);
    private static final int OK = 200;
    // What discovery had to tell counts as told so long after the wait of a call is over.
    private static final long ANSWER_WITHIN_MS = 2_000;

    private final HttpClient client;
    private final Consumer<Event> events;
    private long lastCall;
    private HttpClientRequest out;

    DiscoverySide(Vertx vertx, Consumer<Event> events) {
        this.events = events;
        client = vertx.httpClientBuilder().with(new HttpClientOptions().setHttp2ClearTextUpgrade(false))
            .with(new PoolOptions().setHttp1MaxSize(1))
            .withConnectHandler(this::connected).build();
    }

    private void connected(HttpConnection connection) {
        Peer<HttpConnection> peer = new Peer<>(0, connection);
        connection.exceptionHandler(peer::broke);
        connection.closeHandler(closed -> ConnectionLog.ended("discovery", connection.remoteAddress(),
            peer.reason()));
    }

    void call(CallDiscovery effect) {
        if (out != null) {
            out.reset();
            out = null;
        }
        lastCall = effect.call();
        Address address = effect.address();
        long wait = effect.waits() / 1000;
        RequestOptions options = new RequestOptions().setMethod(HttpMethod.GET).setHost(address.host())
            .setPort(address.port()).setTimeout(wait + ANSWER_WITHIN_MS).setConnectTimeout(ANSWER_WITHIN_MS)
            .setURI(Headers.LIST_PATH
                + (effect.after() < 0 ? "" : "?after=" + effect.after() + "&wait_ms=" + wait));
        client.request(options)
            .compose(request -> send(effect.call(), request))
            .compose(response -> response.body().map(body -> list(response, body)))
            .onComplete(list -> {
                ended(effect.call());
                events.accept(new ListRead(effect.call(), list));
            }, failure -> {
                ended(effect.call());
                LOG.warn("a call to discovery failed: {}", failure.toString());
                events.accept(new ListCallFailed(effect.call()));
            });
    }

    private Future<HttpClientResponse> send(long call, HttpClientRequest request) {
        if (call != lastCall) {
            request.reset();
            return Future.failedFuture("given up for a later call");
        }
        out = request;
        return request.send();
    }

    private void ended(long call) {
        if (call == lastCall) {
            out = null;
        }
    }

    private static HostList list(HttpClientResponse response, Buffer body) {
        if (response.statusCode() != OK) {
            throw new IllegalStateException("status " + response.statusCode());
        }
        try {
            return HostList.read(body.getBytes());
        } catch (ProtocolException e) {
            throw new IllegalStateException(e.getMessage(), e);
        }
    }
}
