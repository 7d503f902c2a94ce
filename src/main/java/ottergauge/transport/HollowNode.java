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
import ottergauge.transport.HollowEvent.PollKind;
import ottergauge.transport.HollowEvent.ServerStatuses;
import ottergauge.transport.HollowEvent.Source;
import ottergauge.transport.HollowEvent.VersionEffective;

/**
 * One node without clients, listeners and servers. Its router, decision engine, codecs and the
 * connections to discovery are those of a real node. It runs from {@link #start} to {@link #drop};
 * later events are ignored. It is used on one event loop.
 */
final class HollowNode {

    private static final Logger LOG = LoggerFactory.getLogger(HollowNode.class);
    private static final int DIGEST_BYTES = 8;
    // An admin request names its connection. The router responds at once, so that all requests can
    // use the same number.
    private static final long ADMIN_CONNECTION = 1;

    private final NodeConfig config;
    private final LongSupplier wallClock;
    private final Consumer<HollowEvent> observer;
    private final HollowPollCounter polls;
    private final HollowTrafficCounter traffic;
    private final Clock clock = new Clock();
    private final Timers timers;
    private final EventQueue events = new EventQueue(this::handle);
    private final Set<Channel> openChannels = new HashSet<>();
    private final DiscoveryClient discovery;
    private final Router router;
    private boolean dropped;

    /** The version of the list in effect. */
    private long effectiveVersion;

    /** The version that the current event may put into effect. */
    private long nextVersion;

    /** {@code wallClock} is the clock of the instants that are reported to the observer. */
    HollowNode(
            NodeConfig config,
            Vertx vertx,
            OutboundConnection.Dialer dialer,
            LongSupplier wallClock,
            HollowPollCounter polls,
            Consumer<HollowEvent> observer) {
        this.config = config;
        this.wallClock = wallClock;
        this.observer = observer;
        this.polls = polls;
        traffic = new HollowTrafficCounter(config.name(), Source.DISCOVERY, wallClock, observer);
        timers =
                new Timers(
                        clock::micros,
                        (millis, task) -> vertx.setTimer(millis, fired -> task.run()));
        discovery =
                new DiscoveryClient(
                        (side, address, timeoutMs, maxBodyBytes) ->
                                dialer.dial(side, address, timeoutMs, maxBodyBytes)
                                        .map(this::counted),
                        config.maxListBytes(),
                        this::take);
        router = new Router(config, this::perform);
        effectiveVersion = config.knownEndpoints().version();
    }

    private OutboundConnection counted(OutboundConnection connection) {
        Channel channel = connection.context().channel();
        channel.pipeline().addFirst(traffic.counter());
        openChannels.add(channel);
        channel.closeFuture().addListener(closed -> openChannels.remove(channel));
        return connection;
    }

    void start() {
        router.start(clock.micros());
    }

    /**
     * Ends the node as if its process were killed: its connections are closed and further events
     * are ignored.
     */
    void drop() {
        dropped = true;
        List.copyOf(openChannels).forEach(HollowNode::close);
        traffic.report();
    }

    // The result does not matter: the connection is dropped.
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
        take(new Event.AdminRequestReceived(ADMIN_CONNECTION, new AdminRequest.Servers()));
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
                            wallClock.getAsLong()));
        }
    }

    private void perform(Effect effect) {
        if (effect instanceof Effect.PollDiscovery e) {
            poll(e);
        } else if (effect instanceof Effect.CancelPoll e) {
            polls.count(PollKind.FAILED);
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

    // A poll asks for the changes after a version. The router polls after the version that it has
    // applied, so this version is in effect once the current event has been handled.
    private void poll(Effect.PollDiscovery effect) {
        nextVersion = effect.afterVersion();
        polls.count(
                effect.afterVersion() <= EndpointList.EMPTY.version()
                        ? PollKind.WHOLE
                        : PollKind.CHANGES);
        discovery.poll(effect);
    }

    private void reportOmitted(Effect effect) {
        observer.accept(
                new HollowEvent.EffectOmitted(
                        config.name(), effect.getClass().getSimpleName(), wallClock.getAsLong()));
    }

    // The servers are sorted: the node lists them in the order in which it first learned of them,
    // which differs from node to node.
    private ServerStatuses serverStatuses(String text) {
        List<String> lines = new ArrayList<>(text.lines().toList());
        lines.sort(null);
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            lines.forEach(line -> digest.update((line + '\n').getBytes(StandardCharsets.UTF_8)));
            String hex = HexFormat.of().formatHex(digest.digest(), 0, DIGEST_BYTES);
            return new ServerStatuses(config.name(), lines.size(), hex, wallClock.getAsLong());
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
