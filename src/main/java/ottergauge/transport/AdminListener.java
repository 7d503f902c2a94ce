// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.vertx.core.Future;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ottergauge.protocol.Address;
import ottergauge.routing.AdminRequest;
import ottergauge.routing.CloseReason;
import ottergauge.routing.Effect.RespondToAdmin;
import ottergauge.routing.Event;
import ottergauge.routing.Event.AdminRequestReceived;

/**
 * The operators' door: an address of its own, with a small number of connections of its own that no
 * flood of clients uses up.
 */
final class AdminListener {

    // A few operators and a collector of figures at once; what is silent beyond that gives way.
    private static final int MAX_CONNECTIONS = 24;
    private static final int BACKLOG = 256;
    // A call is one small message: what has not come whole by now does not come any more.
    private static final long CALL_WITHIN_MS = 2_000;
    // What connects sends its call at once: what is older and silent gives way to what waits
    // outside.
    private static final long FRESH_MS = 50;

    private final EventLoop loop;
    private final ConnectionLimiter limiter;
    private final Consumer<Event> events;
    private final Map<Long, AdminConnection> open = new LinkedHashMap<>();
    private final Map<Long, Long> since = new LinkedHashMap<>();
    private long lastNumber;
    private boolean makingRoom;
    private String side = ConnectionLog.SELF;

    AdminListener(EventLoop loop, EventLoopMonitor watch, Consumer<Event> events) {
        this.loop = loop;
        limiter = new ConnectionLimiter(watch);
        this.events = events;
    }

    Future<Listener> listen(Address address) {
        limiter.setLimit(MAX_CONNECTIONS);
        return Listener.open(loop, address, BACKLOG, false, limiter, this::adopt);
    }

    /** The node takes clients: from now on it is operators who call. */
    void startServing() {
        side = "operator";
    }

    private void adopt(ChannelPipeline pipeline) {
        long number = ++lastNumber;
        AdminConnection connection =
                new AdminConnection(
                        side,
                        (from, call) -> asked(number, call),
                        () -> {
                            open.remove(number);
                            since.remove(number);
                        });
        open.put(number, connection);
        since.put(number, System.nanoTime());
        pipeline.addLast(new HttpFraming.RequestDecoder(), new HttpResponseEncoder(), connection);
        loop.schedule(() -> late(number), CALL_WITHIN_MS, TimeUnit.MILLISECONDS);
        if (limiter.isFull() && !makingRoom) {
            makingRoom = true;
            loop.schedule(this::makeRoom, FRESH_MS, TimeUnit.MILLISECONDS);
        }
    }

    private void asked(long number, AdminRequest call) {
        events.accept(new AdminRequestReceived(number, call));
    }

    private void late(long number) {
        AdminConnection connection = open.get(number);
        if (connection != null) {
            connection.late();
            // A caller that does not read keeps nothing open.
            loop.schedule(
                    () -> {
                        if (open.containsKey(number)) {
                            connection.close(CloseReason.SLOW_ANSWER);
                        }
                    },
                    CALL_WITHIN_MS,
                    TimeUnit.MILLISECONDS);
        }
    }

    private void makeRoom() {
        makingRoom = false;
        if (!limiter.isFull()) {
            return;
        }
        long old = System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(FRESH_MS);
        new LinkedHashMap<>(since)
                .forEach(
                        (number, at) -> {
                            if (at <= old && open.get(number).waits()) {
                                open.get(number).close(CloseReason.SOCKETS_SHORT);
                            }
                        });
        makingRoom = true;
        loop.schedule(this::makeRoom, FRESH_MS, TimeUnit.MILLISECONDS);
    }

    void respond(RespondToAdmin effect) {
        AdminConnection connection = open.get(effect.connection());
        if (connection != null) {
            connection.answer(effect.status(), effect.text());
        }
    }
}
