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
 * Serves made-up requests in memory before the node is ready: what it is made of, without a socket.
 * A virtual machine that has just started runs the first requests many times slower than later
 * ones. With part of a core a node that began cold lost half of its first five seconds' requests.
 */
public final class JitWarmUp {

    // Past this many requests little gets quicker: the compiler takes up a method after some
    // hundred calls.
    private static final int MOST = 1_000;
    // Fewer leave most classes to be loaded under the first client's request.
    private static final int LEAST = 100;
    // What all nodes rehearse together. One of three that starts cold spoils a third of all
    // requests: better
    // it is away for some time more. Of many, each counts for little, and what hurts is that most
    // are away
    // at once.
    private static final int BY_ALL = 3_000;
    // Longer than this, being away costs a restarted node's peers more than its being warm spares
    // them.
    private static final long LONGEST = TimeUnit.MILLISECONDS.toNanos(3_000);
    private static final int OK = 200;
    private static final int SERVERS = 4;
    // Made-up time that passes with each exchange and between requests: some of the module's
    // windows end too.
    private static final long TRIP = 1_000;
    private static final long PACE = 20_000;
    // Every so many answers one is of another kind.
    private static final int ODD = 50;
    private static final String REPORT = "TEXT inflight=0, queue=0, util=0.1";
    private static final byte[] SERVED = answer("200 OK", Headers.LOAD + ": " + REPORT + "\r\n");
    private static final byte[] TURNED_AWAY =
            answer("503 Service Unavailable", Headers.NEVER_RAN + ": 1\r\n");

    private final EventQueue events = new EventQueue(this::handle);
    private final DownstreamConnections clients =
            new DownstreamConnections(new EventLoopMonitor(() -> 0), events::take);
    private final UpstreamConnector servers = new UpstreamConnector(this::connect, events::take);
    private final List<EmbeddedChannel> opened = new ArrayList<>();
    private final List<RequestClass> classes;
    private final Router router;

    /** When the decision module wants to be woken. */
    private final PriorityQueue<Long> wakes = new PriorityQueue<>();

    private long now = new Clock().micros();
    private long answers;
    private int served;

    private JitWarmUp(NodeConfig config) {
        classes = config.settings().decisions().requestClasses();
        List<DiscoveredEndpoint> hosts = new ArrayList<>();
        for (int i = 1; i <= SERVERS; i++) {
            hosts.add(
                    new DiscoveredEndpoint(
                            "rehearsal-" + i,
                            new Address("rehearsal", i),
                            null,
                            null,
                            i,
                            EndpointState.UP,
                            1,
                            0));
        }
        router =
                new Router(
                        new NodeConfig(
                                config.name(),
                                config.listen(),
                                config.discovery(),
                                config.seed(),
                                config.maxDescriptors(),
                                new EndpointList(0, true, hosts),
                                config.settings(),
                                Optional.empty(),
                                config.memoryMb(),
                                Optional.empty()),
                        this::carryOut);
    }

    /** How many requests were made, and how many of them were served. */
    public record Played(int requests, int served) {}

    /** Runs until nothing gets much quicker any more, or it has taken too long. */
    public static Played run(NodeConfig config) {
        return run(config, requests(config.settings().decisions().nodeCount()), LONGEST);
    }

    static int requests(int nodes) {
        return Math.max(LEAST, Math.min(MOST, BY_ALL / nodes));
    }

    static Played run(NodeConfig config, int most, long longest) {
        return new JitWarmUp(config).play(most, longest);
    }

    private Played play(int most, long longest) {
        long from = System.nanoTime();
        router.start(now);
        EmbeddedChannel client = new EmbeddedChannel();
        clients.add(client.pipeline(), 0);
        int requests = 0;
        while (requests < most && System.nanoTime() - from < longest) {
            now += PACE;
            RequestClass type = classes.get(requests % classes.size());
            client.writeInbound(Unpooled.wrappedBuffer(request(type, ++requests)));
            // A probe's answer brings the request that it was for. One that is held is answered in
            // time: what
            // came behind it would end the connection, and a node of a large fleet holds many.
            while (client.outboundMessages().isEmpty() && (answerAll() || wake())) {
                now += TRIP;
            }
            drain(client);
        }
        return new Played(requests, served);
    }

    private boolean wake() {
        Long due = wakes.poll();
        if (due != null) {
            now = Math.max(now, due);
            events.take(new Event.TimerFired(new Timer.Decision("tick")));
        }
        return due != null;
    }

    private boolean answerAll() {
        boolean any = false;
        for (int i = 0; i < opened.size(); i++) {
            EmbeddedChannel server = opened.get(i);
            if (!server.outboundMessages().isEmpty()) {
                any = true;
                drain(server);
                server.writeInbound(
                        Unpooled.wrappedBuffer(++answers % ODD == 0 ? TURNED_AWAY : SERVED));
            }
        }
        return any;
    }

    private static void drain(EmbeddedChannel channel) {
        for (Object out = channel.readOutbound(); out != null; out = channel.readOutbound()) {
            ReferenceCountUtil.release(out);
        }
    }

    private static byte[] request(RequestClass type, int id) {
        boolean safe = type.idempotency() == Idempotency.IDEMPOTENT;
        return ((safe ? "GET" : "POST")
                        + " /api HTTP/1.1\r\nHost: rehearsal\r\n"
                        + Headers.TRACE_ID
                        + ": "
                        + id
                        + "\r\n"
                        + Headers.REQUEST_CLASS
                        + ": "
                        + type.name()
                        + "\r\n"
                        + Headers.EXPIRES_IN_MS
                        + ": "
                        + type.deadline() / 1000
                        + "\r\n"
                        + (type.idempotency() == Idempotency.KEYED
                                ? Headers.IDEMPOTENCY_KEY + ": " + id + "\r\n"
                                : "")
                        + (safe ? "\r\n" : "Content-Length: 4\r\n\r\nbody"))
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private static byte[] answer(String status, String field) {
        return ("HTTP/1.1 "
                        + status
                        + "\r\nContent-Length: "
                        + REPORT.length()
                        + "\r\n"
                        + field
                        + "\r\n"
                        + REPORT)
                .getBytes(StandardCharsets.ISO_8859_1);
    }

    private Future<OutboundConnection> connect(Address address, long timeoutMs) {
        EmbeddedChannel channel = new EmbeddedChannel();
        OutboundConnection connection =
                OutboundConnection.over(
                        channel.pipeline(), "rehearsal", BodyLimits.MAX_BUFFERED_BYTES);
        opened.add(channel);
        return Future.succeededFuture(connection);
    }

    private void handle(Event event) {
        router.handle(now, event);
    }

    // Discovery, the listener and other timers have no part in it; what is closed leaves no log
    // line.
    private void carryOut(Effect effect) {
        if (effect instanceof Effect.Respond e) {
            served += e.status() == OK ? 1 : 0;
            clients.respond(e);
        } else if (effect instanceof Effect.ConnectUpstream e) {
            servers.connect(e);
        } else if (effect instanceof Effect.Forward e) {
            servers.forward(e);
        } else if (effect instanceof Effect.PollDiscovery e) {
            // There is none: its list counts for as long as it is rehearsed.
            events.take(new Event.DiscoveryPollFailed(e.poll()));
        } else if (effect instanceof Effect.ReadPendingInput e) {
            events.take(new Event.PendingInputRead(e.connection()));
        } else if (effect instanceof Effect.ProbeLoad e) {
            servers.probeLoad(e);
        } else if (effect instanceof Effect.StartTimer e && e.timer() instanceof Timer.Decision) {
            wakes.add(now + e.delayMicros());
        }
    }
}
