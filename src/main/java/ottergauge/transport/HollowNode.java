// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.Channel;
import io.vertx.core.Vertx;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.HexFormat;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.NodeConfig;
import ottergauge.routing.AdminRequest;
import ottergauge.routing.Effect;
import ottergauge.routing.Event;
import ottergauge.routing.Router;
import ottergauge.transport.HollowEvent.CallKind;
import ottergauge.transport.HollowEvent.ServerStatuses;
import ottergauge.transport.HollowEvent.Source;
import ottergauge.transport.HollowEvent.VersionEffective;

/**
 * One node without clients, listener and servers: the reducer, the decisions, the codecs and the
 * connections by which it follows its list are those of a real one. It lives from {@link #start} to
 * {@link #drop}; what comes for it after that is passed over. All of it is used on one loop.
 */
final class HollowNode {

    private static final Logger LOG = LoggerFactory.getLogger(HollowNode.class);
    private static final int DIGEST_BYTES = 8;
    // An operator's call has a number; the node answers at once, so that one number serves for all.
    private static final long CALLER = 1;

    private final NodeConfig config;
    private final LongSupplier wall;
    private final Consumer<HollowEvent> observer;
    private final HollowCallCounter calls;
    private final HollowTrafficCounter traffic;
    private final Clock clock = new Clock();
    private final Timers timers;
    private final EventQueue events = new EventQueue(this::handle);
    private final Set<Channel> open = new HashSet<>();
    private final DiscoveryClient discovery;
    private final Router router;
    private boolean dropped;

    /** The effective list's version, and the one that the current event may make effective. */
    private long effectiveVersion;

    private long nextVersion;

    /** {@code wall} is the clock that the observer is told instants of. */
    HollowNode(
            NodeConfig config,
            Vertx vertx,
            OutboundConnection.Dialer dialer,
            LongSupplier wall,
            HollowCallCounter calls,
            Consumer<HollowEvent> observer) {
        this.config = config;
        this.wall = wall;
        this.observer = observer;
        this.calls = calls;
        traffic = new HollowTrafficCounter(config.name(), Source.DISCOVERY, wall, observer);
        timers =
                new Timers(
                        clock::micros,
                        (millis, task) -> vertx.setTimer(millis, fired -> task.run()));
        discovery =
                new DiscoveryClient(
                        (side, address, timeoutMs, mostBody) ->
                                dialer.dial(side, address, timeoutMs, mostBody).map(this::counted),
                        config.maxListBytes(),
                        this::take);
        router = new Router(config, this::perform);
        effectiveVersion = config.knownEndpoints().version();
    }

    private OutboundConnection counted(OutboundConnection connection) {
        Channel channel = connection.context().channel();
        channel.pipeline().addFirst(traffic.counter());
        open.add(channel);
        channel.closeFuture().addListener(closed -> open.remove(channel));
        return connection;
    }

    void start() {
        router.start(clock.micros());
    }

    /**
     * Ends it as if its process were killed: its connections are closed and it does nothing any
     * more.
     */
    void drop() {
        dropped = true;
        List.copyOf(open).forEach(HollowNode::close);
        traffic.report();
    }

    // Nothing is lost by the close of a connection that is dropped.
    @SuppressWarnings("FutureReturnValueIgnored")
    private static void close(Channel channel) {
        channel.close();
    }

    /** Reports what has been counted since the last report. */
    void report() {
        traffic.report();
    }

    /** Reports the status of all servers. */
    void reportServers() {
        take(new Event.AdminRequestReceived(CALLER, new AdminRequest.Servers()));
    }

    private void take(Event event) {
        if (!dropped) {
            events.take(event);
        }
    }

    private void handle(Event event) {
        nextVersion = effectiveVersion;
        try {
            router.handle(clock.micros(), event);
        } catch (RuntimeException e) {
            LOG.error("{}: an event was not handled: {}", config.name(), event, e);
        }
        if (nextVersion != effectiveVersion) {
            effectiveVersion = nextVersion;
            EndpointList list =
                    event instanceof Event.EndpointListReceived read
                            ? read.list()
                            : EndpointList.EMPTY;
            observer.accept(
                    new VersionEffective(
                            config.name(),
                            Source.DISCOVERY,
                            effectiveVersion,
                            list.complete(),
                            list.endpoints().size(),
                            wall.getAsLong()));
        }
    }

    private void perform(Effect effect) {
        if (effect instanceof Effect.PollDiscovery e) {
            poll(e);
        } else if (effect instanceof Effect.CancelPoll e) {
            calls.count(CallKind.FAILED);
            discovery.cancel(e);
        } else if (effect instanceof Effect.StartTimer e) {
            timers.start(e.delayMicros(), () -> take(new Event.TimerFired(e.timer())));
        } else if (effect instanceof Effect.RespondToAdmin e) {
            observer.accept(serverStatuses(e.text()));
        } else if (effect instanceof Effect.ConnectUpstream e) {
            reportOmitted(effect);
            take(new Event.UpstreamConnectFailed(e.connection()));
        } else if (!(effect instanceof Effect.AcceptUpTo)) {
            reportOmitted(effect);
        }
    }

    // A call that goes on from a version asks for what is newer: what it names is in force once the
    // event in
    // hand is handled.
    private void poll(Effect.PollDiscovery effect) {
        nextVersion = effect.afterVersion();
        calls.count(
                effect.afterVersion() <= EndpointList.EMPTY.version()
                        ? CallKind.WHOLE
                        : CallKind.CHANGES);
        discovery.poll(effect);
    }

    private void reportOmitted(Effect effect) {
        observer.accept(
                new HollowEvent.EffectOmitted(
                        config.name(), effect.getClass().getSimpleName(), wall.getAsLong()));
    }

    // The order of names is that in which they were heard of first, which differs from node to
    // node.
    private ServerStatuses serverStatuses(String text) {
        List<String> lines = new ArrayList<>(text.lines().toList());
        lines.sort(null);
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            lines.forEach(line -> digest.update((line + '\n').getBytes(StandardCharsets.UTF_8)));
            String hex = HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
            return new ServerStatuses(config.name(), lines.size(), hex, wall.getAsLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
