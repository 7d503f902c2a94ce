// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.Future;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.concurrent.TimeUnit;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.Idempotency;
import ottergauge.decision.api.RequestClass;
import ottergauge.protocol.Address;
import ottergauge.protocol.BodyLimits;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.Headers;
import ottergauge.protocol.NodeConfig;
import ottergauge.routing.Effect;
import ottergauge.routing.Event;
import ottergauge.routing.Router;
import ottergauge.routing.Timer;

/**
 * Serves synthetic requests in memory before the node is ready, so that the classes on their path
 * are loaded and compiled: a virtual machine that has just started runs a request many times slower
 * than later on. The router, the connections and the codecs are those of the node; clients, servers
 * and time are simulated.
 */
public final class JitWarmUp {

    /** The JIT compiler compiles a method after a few hundred calls: more requests gain little. */
    private static final int MAX_REQUESTS = 1_000;

    /**
     * With fewer requests, most classes would be loaded by the first client's request. Each node
     * makes at least this many, even if all nodes together then exceed their limit.
     */
    private static final int MIN_REQUESTS = 100;

    /**
     * The limit for all nodes together. In a small fleet, a node that is not warmed up slows down a
     * large part of all requests. In a large fleet, each node serves a small part of them, and the
     * time in which many nodes are unavailable during a restart matters more.
     */
    private static final int MAX_REQUESTS_OF_ALL_NODES = 3_000;

    private static final long MAX_DURATION_NANOS = TimeUnit.MILLISECONDS.toNanos(3_000);
    private static final int OK = 200;
    private static final int SERVERS = 4;
    private static final String HOST = "rehearsal";

    /** Simulated time of an exchange with a server. */
    private static final long ROUND_TRIP_MICROS = 1_000;

    /**
     * Simulated time between requests, long enough that some of the engine's time windows end
     * during the warm-up.
     */
    private static final long REQUEST_INTERVAL_MICROS = 20_000;

    /** One response in this many is a rejection. */
    private static final int RESPONSES_PER_REJECTION = 50;

    private static final String LOAD_REPORT = "TEXT inflight=0, queue=0, util=0.1";
    private static final byte[] SERVED =
            response("200 OK", Headers.LOAD + ": " + LOAD_REPORT + "\r\n");
    private static final byte[] REJECTED =
            response("503 Service Unavailable", Headers.NEVER_RAN + ": 1\r\n");

    private final EventQueue events = new EventQueue(this::handle);
    private final DownstreamConnections clients =
            new DownstreamConnections(new EventLoopMonitor(() -> 0), events::take);
    private final UpstreamConnector servers = new UpstreamConnector(this::connect, events::take);
    private final List<EmbeddedChannel> serverChannels = new ArrayList<>();
    private final List<RequestClass> classes;
    private final Router router;

    /** The due times of the decision engine's timers. */
    private final PriorityQueue<Long> timers = new PriorityQueue<>();

    private long now = new Clock().micros();
    private long responses;
    private int served;

    private JitWarmUp(NodeConfig config) {
        classes = config.settings().decisions().requestClasses();
        router = new Router(withSimulatedServers(config), this::perform);
    }

    private static NodeConfig withSimulatedServers(NodeConfig config) {
        List<DiscoveredEndpoint> endpoints = new ArrayList<>();
        for (int i = 1; i <= SERVERS; i++) {
            endpoints.add(
                    new DiscoveredEndpoint(
                            HOST + "-" + i,
                            new Address(HOST, i),
                            null,
                            null,
                            i,
                            EndpointState.UP,
                            1,
                            0));
        }
        return new NodeConfig(
                config.name(),
                config.listen(),
                config.discovery(),
                config.seed(),
                config.maxDescriptors(),
                new EndpointList(0, true, endpoints),
                config.settings(),
                Optional.empty(),
                config.memoryMb(),
                Optional.empty());
    }

    /** The number of requests made, and of those that were served. */
    public record Outcome(int requests, int served) {}

    /** Runs until further requests would gain little or the time limit is reached. */
    public static Outcome run(NodeConfig config) {
        int nodes = config.settings().decisions().nodeCount();
        return run(config, maxRequests(nodes), MAX_DURATION_NANOS);
    }

    /** The number of requests for each node of a fleet of {@code nodes} nodes. */
    static int maxRequests(int nodes) {
        return Math.max(MIN_REQUESTS, Math.min(MAX_REQUESTS, MAX_REQUESTS_OF_ALL_NODES / nodes));
    }

    static Outcome run(NodeConfig config, int maxRequests, long maxDurationNanos) {
        return new JitWarmUp(config).run(maxRequests, maxDurationNanos);
    }

    private Outcome run(int maxRequests, long maxDurationNanos) {
        long startedAt = System.nanoTime();
        router.start(now);
        EmbeddedChannel client = new EmbeddedChannel();
        clients.add(client.pipeline(), 0);
        int requests = 0;
        while (requests < maxRequests && System.nanoTime() - startedAt < maxDurationNanos) {
            now += REQUEST_INTERVAL_MICROS;
            RequestClass requestClass = classes.get(requests % classes.size());
            client.writeInbound(Unpooled.wrappedBuffer(request(requestClass, ++requests)));
            // The response to each request is awaited before the next request, because a second
            // request on the same connection would end the first one. A node of a large fleet
            // queues many requests, so that timers may have to fire before the response comes.
            while (client.outboundMessages().isEmpty() && (respondToAll() || fireNextTimer())) {
                now += ROUND_TRIP_MICROS;
            }
            releaseOutbound(client);
        }
        return new Outcome(requests, served);
    }

    private boolean fireNextTimer() {
        Long due = timers.poll();
        if (due == null) {
            return false;
        }
        now = Math.max(now, due);
        events.take(new Event.TimerFired(new Timer.Decision("tick")));
        return true;
    }

    private boolean respondToAll() {
        boolean any = false;
        // Iterates by index, since a response may open further connections.
        for (int i = 0; i < serverChannels.size(); i++) {
            EmbeddedChannel server = serverChannels.get(i);
            if (!server.outboundMessages().isEmpty()) {
                any = true;
                releaseOutbound(server);
                responses++;
                boolean rejects = responses % RESPONSES_PER_REJECTION == 0;
                server.writeInbound(Unpooled.wrappedBuffer(rejects ? REJECTED : SERVED));
            }
        }
        return any;
    }

    private static void releaseOutbound(EmbeddedChannel channel) {
        for (Object out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
            ReferenceCountUtil.release(out);
        }
    }

    private static byte[] request(RequestClass requestClass, int id) {
        boolean idempotent = requestClass.idempotency() == Idempotency.IDEMPOTENT;
        boolean keyed = requestClass.idempotency() == Idempotency.KEYED;
        StringBuilder request = new StringBuilder(idempotent ? "GET" : "POST");
        request.append(" /api HTTP/1.1\r\n");
        appendField(request, "Host", HOST);
        appendField(request, Headers.TRACE_ID, id);
        appendField(request, Headers.REQUEST_CLASS, requestClass.name());
        appendField(request, Headers.EXPIRES_IN_MS, requestClass.deadline() / 1000);
        if (keyed) {
            appendField(request, Headers.IDEMPOTENCY_KEY, id);
        }
        request.append(idempotent ? "\r\n" : "Content-Length: 4\r\n\r\nbody");
        return request.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private static void appendField(StringBuilder head, String name, Object value) {
        head.append(name).append(": ").append(value).append("\r\n");
    }

    private static byte[] response(String status, String field) {
        StringBuilder response = new StringBuilder("HTTP/1.1 ").append(status).append("\r\n");
        appendField(response, "Content-Length", LOAD_REPORT.length());
        response.append(field).append("\r\n").append(LOAD_REPORT);
        return response.toString().getBytes(StandardCharsets.ISO_8859_1);
    }

    private Future<OutboundConnection> connect(Address address, long timeoutMs) {
        EmbeddedChannel channel = new EmbeddedChannel();
        OutboundConnection connection =
                OutboundConnection.over(channel.pipeline(), HOST, BodyLimits.MAX_BUFFERED_BYTES);
        serverChannels.add(channel);
        return Future.succeededFuture(connection);
    }

    private void handle(Event event) {
        router.handle(now, event);
    }

    // Ignores effects for the listeners and for other timers. Effects that close connections are
    // ignored too: each of them would be logged.
    private void perform(Effect effect) {
        if (effect instanceof Effect.Respond e) {
            served += e.status() == OK ? 1 : 0;
            clients.respond(e);
        } else if (effect instanceof Effect.ConnectUpstream e) {
            servers.connect(e);
        } else if (effect instanceof Effect.Forward e) {
            servers.forward(e);
        } else if (effect instanceof Effect.PollDiscovery e) {
            // The poll fails, so that the node keeps the simulated servers.
            events.take(new Event.DiscoveryPollFailed(e.poll()));
        } else if (effect instanceof Effect.ReadPendingInput e) {
            events.take(new Event.PendingInputRead(e.connection(), e.attempt(), true));
        } else if (effect instanceof Effect.ProbeLoad e) {
            servers.probeLoad(e);
        } else if (effect instanceof Effect.StartTimer e && e.timer() instanceof Timer.Decision) {
            timers.add(now + e.delayMicros());
        }
    }
}
