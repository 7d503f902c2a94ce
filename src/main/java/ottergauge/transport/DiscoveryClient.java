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

/**
 * Polls discovery. Concurrent polls use separate connections; an idle one is kept for the next
 * poll.
 */
final class DiscoveryClient {

    private static final Logger LOG = LoggerFactory.getLogger(DiscoveryClient.class);
    private static final int OK = 200;
    private static final long CONNECT_TIMEOUT_MS = 2_000;
    private static final long MICROS_PER_MILLI = 1_000;
    private static final String SIDE = "discovery";

    private final OutboundConnection.Dialer dialer;

    /** The size limit of an endpoint list; a larger one is rejected. */
    private final int maxListBytes;

    private final Consumer<Event> events;

    /**
     * The open polls by number, each with its connection, which is empty until it has been
     * established.
     */
    private final Map<Long, Optional<OutboundConnection>> openPolls = new HashMap<>();

    private OutboundConnection idle;
    private Address idleAddress;

    DiscoveryClient(OutboundConnection.Dialer dialer, int maxListBytes, Consumer<Event> events) {
        this.events = events;
        this.dialer = dialer;
        this.maxListBytes = maxListBytes;
    }

    /** Starts a poll; earlier ones without a response stay open. */
    void poll(PollDiscovery effect) {
        if (!openPolls.isEmpty()) {
            LOG.warn(
                    "{} discovery polls are not answered in time, polling again", openPolls.size());
        }
        OutboundConnection reused = idle;
        idle = null;
        if (reused != null && effect.address().equals(idleAddress)) {
            send(effect, reused);
            return;
        }
        if (reused != null) {
            reused.close(CloseReason.DISCOVERY_MOVED);
        }
        openPolls.put(effect.poll(), Optional.empty());
        dialer.dial(SIDE, effect.address(), CONNECT_TIMEOUT_MS, maxListBytes)
                .onComplete(
                        opened -> onConnected(effect, opened),
                        failure -> fail(effect.poll(), failure.toString()));
    }

    private void onConnected(PollDiscovery effect, OutboundConnection opened) {
        opened.onEnd(reason -> onEnd(opened, reason));
        if (openPolls.containsKey(effect.poll())) {
            send(effect, opened);
        } else {
            opened.close(CloseReason.DISCOVERY_MOVED);
        }
    }

    private void onEnd(OutboundConnection connection, CloseReason reason) {
        if (connection == idle) {
            idle = null;
        }
        List<Long> polls =
                openPolls.entrySet().stream()
                        .filter(each -> each.getValue().orElse(null) == connection)
                        .map(Map.Entry::getKey)
                        .toList();
        for (long poll : polls) {
            if (reason == CloseReason.TOO_LARGE) {
                rejectTooLarge(poll, connection.announcedLength());
            } else {
                fail(poll, "the connection ended");
            }
        }
    }

    private void rejectTooLarge(long poll, long announcedLength) {
        openPolls.remove(poll);
        LOG.error(
                "the endpoint list of {} bytes exceeds the limit of {} bytes, derived from"
                        + " memory_mb: the previous list stays in effect",
                announcedLength > 0 ? announcedLength : "more",
                maxListBytes);
        events.accept(new EndpointListRejected(poll));
    }

    private void send(PollDiscovery effect, OutboundConnection connection) {
        openPolls.put(effect.poll(), Optional.of(connection));
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, uri(effect));
        request.headers().set(HttpHeaderNames.HOST, effect.address().toString());
        connection.send(request, () -> {}, response -> onResponse(effect, connection, response));
    }

    // Without a version, discovery returns the complete list.
    private static String uri(PollDiscovery effect) {
        if (effect.afterVersion() < 0) {
            return Paths.ENDPOINTS;
        }
        long maxWaitMs = effect.maxWaitMicros() / MICROS_PER_MILLI;
        return Paths.ENDPOINTS + "?after=" + effect.afterVersion() + "&wait_ms=" + maxWaitMs;
    }

    private void onResponse(
            PollDiscovery effect,
            OutboundConnection connection,
            OutboundConnection.Response response) {
        if (!openPolls.containsKey(effect.poll())) {
            return;
        }
        if (response.status() != OK) {
            fail(effect.poll(), "status " + response.status());
            return;
        }
        EndpointList list;
        try {
            list = EndpointList.read(response.body());
        } catch (ProtocolException e) {
            openPolls.remove(effect.poll());
            connection.close(CloseReason.MALFORMED);
            LOG.warn("discovery poll failed: {}", e.getMessage());
            events.accept(new EndpointListRejected(effect.poll()));
            return;
        }
        openPolls.remove(effect.poll());
        keepOrClose(connection, effect.address(), response.reusable());
        events.accept(new EndpointListReceived(effect.poll(), list));
    }

    private void keepOrClose(OutboundConnection connection, Address address, boolean reusable) {
        if (!reusable || idle != null) {
            connection.close(CloseReason.NOT_REUSABLE);
        } else {
            idle = connection;
            idleAddress = address;
        }
    }

    /** Cancels a poll; a later response to it is ignored. */
    void cancel(CancelPoll effect) {
        Optional<OutboundConnection> connection = openPolls.remove(effect.poll());
        if (connection != null) {
            connection.ifPresent(each -> each.close(effect.reason()));
            if (effect.reason() == CloseReason.WATCH_SILENT) {
                LOG.warn("discovery poll failed: no response in time");
            }
        }
    }

    private void fail(long poll, String reason) {
        Optional<OutboundConnection> connection = openPolls.remove(poll);
        if (connection != null) {
            connection.ifPresent(each -> each.close(CloseReason.TIMED_OUT));
            LOG.warn("discovery poll failed: {}", reason);
            events.accept(new DiscoveryPollFailed(poll));
        }
    }
}
