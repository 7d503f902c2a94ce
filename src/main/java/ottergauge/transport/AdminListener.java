// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.vertx.core.Future;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ottergauge.protocol.Address;
import ottergauge.routing.CloseReason;
import ottergauge.routing.Effect.RespondToAdmin;
import ottergauge.routing.Event;
import ottergauge.routing.Event.AdminRequestReceived;

/**
 * Listens on the admin address. It has its own connection limit, so that a flood of clients cannot
 * keep operators out.
 */
final class AdminListener {

    /** Enough for a few operators and a metrics collector at the same time. */
    private static final int MAX_CONNECTIONS = 24;

    private static final int BACKLOG = 256;
    private static final long REQUEST_TIMEOUT_MS = 2_000;

    /** When the limit is reached, a connection without a request is closed once it has this age. */
    private static final long EVICTION_AGE_MS = 50;

    private static final String SIDE = "operator";

    private record OpenConnection(AdminConnection connection, long openedAtNanos) {}

    private final EventLoop loop;
    private final ConnectionLimiter limiter;
    private final Consumer<Event> events;
    private final Map<Long, OpenConnection> open = new LinkedHashMap<>();
    private long lastNumber;
    private boolean evictionScheduled;
    private String side = ConnectionLog.SELF;

    AdminListener(EventLoop loop, EventLoopMonitor monitor, Consumer<Event> events) {
        this.loop = loop;
        limiter = new ConnectionLimiter(monitor);
        this.events = events;
    }

    Future<Listener> listen(Address address) {
        limiter.setLimit(MAX_CONNECTIONS);
        return Listener.open(loop, address, BACKLOG, false, limiter, this::add);
    }

    /**
     * Records that the node serves clients. Connections that are accepted before this call count as
     * those of the node's own warm-up and are not logged; later ones are operators'.
     */
    void startServing() {
        side = SIDE;
    }

    private void add(ChannelPipeline pipeline) {
        long number = ++lastNumber;
        AdminConnection connection =
                new AdminConnection(
                        side,
                        request -> events.accept(new AdminRequestReceived(number, request)),
                        () -> open.remove(number));
        open.put(number, new OpenConnection(connection, System.nanoTime()));
        pipeline.addLast(new HttpFraming.RequestDecoder(), new HttpResponseEncoder(), connection);
        schedule(() -> onRequestTimeout(number), REQUEST_TIMEOUT_MS);
        if (limiter.isFull() && !evictionScheduled) {
            scheduleEviction();
        }
    }

    private void schedule(Runnable task, long delayMs) {
        LoopTasks.schedule(loop, task, delayMs, TimeUnit.MILLISECONDS);
    }

    private void onRequestTimeout(long number) {
        OpenConnection each = open.get(number);
        if (each != null) {
            each.connection().onTimeout();
            // A client that does not read its response must not stay connected.
            schedule(() -> closeIfOpen(number), REQUEST_TIMEOUT_MS);
        }
    }

    private void closeIfOpen(long number) {
        OpenConnection each = open.get(number);
        if (each != null) {
            each.connection().close(CloseReason.SLOW_ANSWER);
        }
    }

    private void scheduleEviction() {
        evictionScheduled = true;
        schedule(this::evictConnectionsWithoutRequest, EVICTION_AGE_MS);
    }

    // A client normally sends its request right after it has connected. Connections without a
    // request are closed, so that connections in the accept queue can be accepted.
    private void evictConnectionsWithoutRequest() {
        evictionScheduled = false;
        if (!limiter.isFull()) {
            return;
        }
        long latestOpenedAt = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(EVICTION_AGE_MS);
        List<OpenConnection> connections = new ArrayList<>(open.values());
        for (OpenConnection each : connections) {
            if (each.openedAtNanos() <= latestOpenedAt && each.connection().isAwaitingRequest()) {
                each.connection().close(CloseReason.SOCKETS_SHORT);
            }
        }
        scheduleEviction();
    }

    void respond(RespondToAdmin effect) {
        OpenConnection each = open.get(effect.connection());
        if (each != null) {
            each.connection().respond(effect.status(), effect.text());
        }
    }
}
