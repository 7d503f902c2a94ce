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

/** The clients' open connections and the listener that accepts them. */
final class DownstreamConnections {

    private static final Logger LOG = LoggerFactory.getLogger(DownstreamConnections.class);

    /**
     * Enough for the connections that a burst of clients opens within one round of the event loop.
     */
    private static final int BACKLOG = 1024;

    private static final String SIDE = "client";

    private final EventLoopMonitor monitor;
    private final Consumer<Event> events;
    private final ReadAheadBudget readAheadBudget = new ReadAheadBudget();
    private final Map<Long, ClientConnection> connections = new HashMap<>();
    private long lastNumber;
    private String side = ConnectionLog.SELF;
    private Runnable emptyHandler;

    DownstreamConnections(EventLoopMonitor monitor, Consumer<Event> events) {
        this.monitor = monitor;
        this.events = events;
    }

    /** Listens; {@code shared} lets another process of the node listen on the same address. */
    Future<Listener> listen(
            EventLoop loop, Address address, boolean shared, ConnectionLimiter limiter) {
        return Listener.open(
                loop,
                address,
                BACKLOG,
                shared,
                limiter,
                pipeline -> add(pipeline, limiter.earliestArrival()));
    }

    /**
     * Records that the node serves clients. Connections that are accepted before this call count as
     * those of the node's own warm-up and are not logged; later ones are clients'.
     */
    void startServing() {
        side = SIDE;
    }

    /**
     * Adds a new connection; {@code connectedAt} is the earliest instant at which it can have been
     * established, by the monitor's clock.
     */
    void add(ChannelPipeline pipeline, long connectedAt) {
        long number = ++lastNumber;
        HttpFraming.RequestDecoder decoder = new HttpFraming.RequestDecoder();
        ClientConnection connection =
                new ClientConnection(side, number, decoder, monitor, connectedAt, this::report);
        connections.put(number, connection);
        pipeline.addFirst(decoder, new HttpResponseEncoder(), connection);
        events.accept(new ClientConnected(number));
    }

    private void report(Event event) {
        if (event instanceof ClientClosed closed) {
            connections.remove(closed.client());
        }
        events.accept(event);
        if (connections.isEmpty() && emptyHandler != null) {
            emptyHandler.run();
        }
    }

    void log(ReportInvalidRequest effect) {
        ClientConnection connection = connections.get(effect.client());
        if (effect.suppressed() > 0) {
            LOG.warn("{} more invalid requests were not logged", effect.suppressed());
        }
        LOG.warn(
                "invalid request from {}, answered {}: {}",
                connection == null ? "a client that has disconnected" : connection.address(),
                effect.status(),
                effect.reason());
    }

    void respond(Respond effect) {
        ClientConnection connection = connections.get(effect.client());
        if (connection != null) {
            connection.respond(effect);
        }
    }

    /**
     * Reads what a client has sent while its streamed request waited for a server; returns whether
     * everything that has arrived is read now.
     */
    boolean readAhead(long client) {
        ClientConnection connection = connections.get(client);
        return connection == null || connection.readAhead(readAheadBudget);
    }

    /**
     * Relays a client's streamed request to a server; {@code server} is null if that connection has
     * ended.
     */
    void relayRequest(ForwardStream effect, OutboundConnection server) {
        ClientConnection connection = connections.get(effect.client());
        if (connection != null && server != null) {
            long timeoutMs = UpstreamConnector.toMillis(effect.timeoutMicros());
            server.identifyAttempt(effect.request().fields().traceId(), effect.attempt());
            connection.relayRequestTo(server, effect.request(), timeoutMs);
        }
    }

    /**
     * Relays a server's streamed response to a client; {@code server} is null if that connection
     * has ended.
     */
    void relayResponse(RelayResponse effect, OutboundConnection server) {
        ClientConnection connection = connections.get(effect.client());
        if (connection != null && server != null) {
            connection.relayResponseOf(server, effect.closeAfter());
        }
    }

    /** Whether a client's connection has bytes to write that it does not accept now. */
    boolean isBehind(long client) {
        ClientConnection connection = connections.get(client);
        return connection != null && connection.hasUnwrittenBytes();
    }

    void close(CloseClient effect) {
        ClientConnection connection = connections.get(effect.client());
        if (connection == null) {
            return;
        }
        switch (effect.reason()) {
            case IDLE, STOPPING -> connection.closeGracefully(effect.reason());
            // The connection's descriptor is needed at once, or nothing can be sent to the client.
            default -> connection.close(effect.reason());
        }
    }

    /**
     * Runs a task once no connection is open; a connection that is being closed still counts as
     * open.
     */
    void whenEmpty(Runnable task) {
        if (connections.isEmpty()) {
            task.run();
        } else {
            emptyHandler = task;
        }
    }
}
