// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpResponseEncoder;
import io.vertx.core.Future;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.protocol.Address;
import ottergauge.routing.Effect.CloseClient;
import ottergauge.routing.Effect.ForwardStream;
import ottergauge.routing.Effect.RelayResponse;
import ottergauge.routing.Effect.ReportInvalidRequest;
import ottergauge.routing.Effect.Respond;
import ottergauge.routing.Event;
import ottergauge.routing.Event.ClientClosed;
import ottergauge.routing.Event.ClientConnected;

/** The side that clients connect to. */
final class DownstreamConnections {

    private static final Logger LOG = LoggerFactory.getLogger(DownstreamConnections.class);
    // As many as a burst of clients may open before the loop comes round to accept them.
    private static final int BACKLOG = 1024;

    private final EventLoopMonitor watch;
    private final Consumer<Event> events;
    private final Map<Long, ClientConnection> connections = new HashMap<>();
    private long lastNumber;
    private String side = ConnectionLog.UNTOLD;
    private Runnable whenEmpty;

    DownstreamConnections(EventLoopMonitor watch, Consumer<Event> events) {
        this.watch = watch;
        this.events = events;
    }

    Future<Listener> listen(EventLoop loop, Address address, boolean shared, ConnectionLimiter gate) {
        return Listener.open(
                loop, address, BACKLOG, shared, gate, pipeline -> adopt(pipeline, gate.since()));
    }

    /** The node takes clients: from now on it is they who connect. */
    void opened() {
        side = "client";
    }

    /**
     * Takes a new connection that came up at {@code since} at the earliest, by the loop's watch.
     */
    void adopt(ChannelPipeline pipeline, long since) {
        long number = ++lastNumber;
        HttpFraming.Requests decoder = new HttpFraming.Requests();
        ClientConnection connection =
                new ClientConnection(side, number, decoder, watch, since, this::report);
        connections.put(number, connection);
        pipeline.addFirst(decoder, new HttpResponseEncoder(), connection);
        events.accept(new ClientConnected(number));
    }

    private void report(Event event) {
        if (event instanceof ClientClosed closed) {
            connections.remove(closed.client());
        }
        events.accept(event);
        if (connections.isEmpty() && whenEmpty != null) {
            whenEmpty.run();
        }
    }

    void log(ReportInvalidRequest effect) {
        ClientConnection connection = connections.get(effect.client());
        if (effect.suppressed() > 0) {
            LOG.warn("{} more were no requests", effect.suppressed());
        }
        LOG.warn(
                "no request from {}, answered {}: {}",
                connection == null ? "a client that has gone" : connection.address(),
                effect.status(),
                effect.reason());
    }

    void respond(Respond effect) {
        ClientConnection connection = connections.get(effect.client());
        if (connection != null) {
            connection.respond(effect);
        }
    }

    /** Writes what comes of a client's request to a server as it comes. */
    void forward(ForwardStream effect, OutboundConnection server) {
        ClientConnection connection = connections.get(effect.client());
        if (connection != null && server != null) {
            connection.flowTo(server, effect.request(), UpstreamConnector.millis(effect.timeoutMicros()));
        }
    }

    /** Passes a server's answer on to a client as it comes. */
    void passOn(RelayResponse effect, OutboundConnection server) {
        ClientConnection connection = connections.get(effect.client());
        if (connection != null && server != null) {
            connection.passOn(server, effect.closeAfter());
        }
    }

    void close(CloseClient effect) {
        ClientConnection connection = connections.get(effect.client());
        if (connection == null) {
            return;
        }
        switch (effect.reason()) {
            case IDLE, STOPPING -> connection.finish(effect.reason());
            // Its descriptor is wanted at once, or there is nothing that its client would be told.
            default -> connection.close(effect.reason());
        }
    }

    /** Runs a task once no connection is left: those that are ending are given their time. */
    void whenNoneIsLeft(Runnable task) {
        if (connections.isEmpty()) {
            task.run();
        } else {
            whenEmpty = task;
        }
    }
}
