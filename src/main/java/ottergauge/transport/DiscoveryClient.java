// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.protocol.Address;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.Paths;
import ottergauge.protocol.ProtocolException;
import ottergauge.routing.CloseReason;
import ottergauge.routing.Effect.CancelPoll;
import ottergauge.routing.Effect.PollDiscovery;
import ottergauge.routing.Event;
import ottergauge.routing.Event.DiscoveryPollFailed;
import ottergauge.routing.Event.EndpointListReceived;
import ottergauge.routing.Event.EndpointListRejected;

/** The calls to discovery: each on a connection of its own, which is kept for the next one. */
final class DiscoveryClient {

    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);
    private static final int OK = 200;
    private static final long CONNECT_WITHIN_MS = 2_000;

    private final OutboundConnection.Dialer dialer;

    /** The largest list that is read, in bytes. */
    private final int mostListBytes;

    private final Consumer<Event> events;

    /** The calls that are out; those whose connection is not up yet have none. */
    private final Map<Long, Optional<OutboundConnection>> out = new HashMap<>();

    private OutboundConnection idle;
    private Address idleAt;

    DiscoveryClient(OutboundConnection.Dialer dialer, int mostListBytes, Consumer<Event> events) {
        this.events = events;
        this.dialer = dialer;
        this.mostListBytes = mostListBytes;
    }

    void call(PollDiscovery effect) {
        if (!out.isEmpty()) {
            LOG.warn(
                    "{} calls to discovery are not answered in time, it is asked anew", out.size());
        }
        OutboundConnection kept = idle;
        idle = null;
        if (kept != null && effect.address().equals(idleAt)) {
            ask(effect, kept);
            return;
        }
        if (kept != null) {
            kept.close(CloseReason.DISCOVERY_MOVED);
        }
        out.put(effect.poll(), Optional.empty());
        dialer.dial("discovery", effect.address(), CONNECT_WITHIN_MS, mostListBytes)
                .onComplete(
                        opened -> connected(effect, opened),
                        failure -> fail(effect.poll(), failure.toString()));
    }

    private void connected(PollDiscovery effect, OutboundConnection opened) {
        opened.whenEnded(why -> ended(opened, why));
        if (out.containsKey(effect.poll())) {
            ask(effect, opened);
        } else {
            opened.close(CloseReason.DISCOVERY_MOVED);
        }
    }

    private void ended(OutboundConnection connection, CloseReason why) {
        if (connection == idle) {
            idle = null;
        }
        List<Long> calls =
                out.entrySet().stream()
                        .filter(each -> each.getValue().orElse(null) == connection)
                        .map(Map.Entry::getKey)
                        .toList();
        for (long call : calls) {
            if (why == CloseReason.TOO_LARGE) {
                tooLarge(call, connection.announced());
            } else {
                fail(call, "the connection ended");
            }
        }
    }

    private void tooLarge(long call, long announced) {
        out.remove(call);
        LOG.error(
                "the list of {} bytes is over the bound of {} bytes, which follows from memory_mb:"
                        + " the one before stays in force",
                announced > 0 ? announced : "more",
                mostListBytes);
        events.accept(new EndpointListRejected(call));
    }

    private void ask(PollDiscovery effect, OutboundConnection connection) {
        out.put(effect.poll(), Optional.of(connection));
        FullHttpRequest request =
                new DefaultFullHttpRequest(
                        HttpVersion.HTTP_1_1,
                        HttpMethod.GET,
                        Paths.ENDPOINTS
                                + (effect.afterVersion() < 0
                                        ? ""
                                        : "?after="
                                                + effect.afterVersion()
                                                + "&wait_ms="
                                                + effect.maxWaitMicros() / 1000));
        request.headers().set(HttpHeaderNames.HOST, effect.address().toString());
        connection.send(request, () -> {}, answer -> answered(effect, connection, answer));
    }

    private void answered(PollDiscovery effect, OutboundConnection connection, OutboundConnection.Answer answer) {
        if (!out.containsKey(effect.poll())) {
            return;
        }
        if (answer.status() != OK) {
            fail(effect.poll(), "status " + answer.status());
            return;
        }
        EndpointList list;
        try {
            list = EndpointList.read(answer.body());
        } catch (ProtocolException e) {
            out.remove(effect.poll());
            connection.close(CloseReason.MALFORMED);
            LOG.warn("a call to discovery failed: {}", e.getMessage());
            events.accept(new EndpointListRejected(effect.poll()));
            return;
        }
        out.remove(effect.poll());
        if (!answer.reusable() || idle != null) {
            connection.close(CloseReason.NOT_REUSABLE);
        } else {
            idle = connection;
            idleAt = effect.address();
        }
        events.accept(new EndpointListReceived(effect.poll(), list));
    }

    void giveUp(CancelPoll effect) {
        Optional<OutboundConnection> connection = out.remove(effect.poll());
        if (connection != null) {
            connection.ifPresent(each -> each.close(effect.reason()));
            if (effect.reason() == CloseReason.WATCH_SILENT) {
                LOG.warn("a call to discovery failed: no answer in time");
            }
        }
    }

    private void fail(long call, String why) {
        Optional<OutboundConnection> connection = out.remove(call);
        if (connection != null) {
            connection.ifPresent(each -> each.close(CloseReason.TIMED_OUT));
            LOG.warn("a call to discovery failed: {}", why);
            events.accept(new DiscoveryPollFailed(call));
        }
    }
}
