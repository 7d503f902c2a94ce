// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import io.vertx.core.Vertx;
import io.vertx.core.net.NetClient;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.protocol.Address;
import ottergauge.protocol.Headers;
import ottergauge.protocol.HostList;
import ottergauge.protocol.ProtocolException;
import ottergauge.routing.CloseReason;
import ottergauge.routing.Effect.CallDiscovery;
import ottergauge.routing.Event;
import ottergauge.routing.Event.ListCallFailed;
import ottergauge.routing.Event.ListRead;

/** The calls to discovery: one at a time, on one connection. */
final class DiscoverySide {

    private static final Logger LOG = LoggerFactory.getLogger(DiscoverySide.class);
    private static final int OK = 200;
    // What discovery had to tell counts as told so long after the wait of a call is over.
    private static final long ANSWER_WITHIN_MS = 2_000;
    // A fleet's whole list, at some hundred bytes a server, may be larger than a request's body.
    private static final int MOST_LIST = 1 << 20;

    private final Vertx vertx;
    private final NetClient client;
    private final Consumer<Event> events;
    private Outbound connection;
    private Address connectedTo;
    private CallDiscovery out;

    DiscoverySide(Vertx vertx, NetClient client, Consumer<Event> events) {
        this.vertx = vertx;
        this.events = events;
        this.client = client;
    }

    void call(CallDiscovery effect) {
        if (connection != null && (out != null || !effect.address().equals(connectedTo))) {
            drop(CloseReason.DISCOVERY_MOVED);
        }
        out = effect;
        vertx.setTimer(effect.waits() / 1000 + ANSWER_WITHIN_MS, due -> fail(effect, "no answer in time"));
        if (connection != null) {
            ask(effect);
            return;
        }
        Outbound.connect(client, "discovery", effect.address(), ANSWER_WITHIN_MS, MOST_LIST)
            .onComplete(opened -> connected(effect, opened), failure -> fail(effect, failure.toString()));
    }

    private void connected(CallDiscovery effect, Outbound opened) {
        opened.whenEnded(why -> {
            if (connection == opened) {
                connection = null;
                fail(out, "the connection ended");
            }
        });
        if (out != effect) {
            opened.close(CloseReason.DISCOVERY_MOVED);
            return;
        }
        connection = opened;
        connectedTo = effect.address();
        ask(effect);
    }

    private void ask(CallDiscovery effect) {
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET,
            Headers.LIST_PATH + (effect.after() < 0 ? ""
                : "?after=" + effect.after() + "&wait_ms=" + effect.waits() / 1000));
        request.headers().set(HttpHeaderNames.HOST, effect.address().toString());
        connection.send(request, () -> { }, answer -> answered(effect, answer));
    }

    private void answered(CallDiscovery effect, Outbound.Answer answer) {
        if (!answer.reusable()) {
            drop(CloseReason.NOT_REUSABLE);
        }
        if (answer.status() != OK) {
            fail(effect, "status " + answer.status());
            return;
        }
        HostList list;
        try {
            list = HostList.read(answer.body());
        } catch (ProtocolException e) {
            fail(effect, e.getMessage());
            return;
        }
        out = null;
        events.accept(new ListRead(effect.call(), list));
    }

    private void fail(CallDiscovery effect, String why) {
        if (effect == null || effect != out) {
            return;
        }
        out = null;
        if (connection != null) {
            drop(CloseReason.TIMED_OUT);
        }
        LOG.warn("a call to discovery failed: {}", why);
        events.accept(new ListCallFailed(effect.call()));
    }

    private void drop(CloseReason reason) {
        Outbound ending = connection;
        connection = null;
        ending.close(reason);
    }
}
