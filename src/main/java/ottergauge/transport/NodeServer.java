// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.internal.ContextInternal;
import io.vertx.core.net.NetClient;
import java.io.IOException;
import java.nio.file.Path;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.protocol.Address;
import ottergauge.protocol.BodyLimits;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.Paths;
import ottergauge.routing.Effect;
import ottergauge.routing.Event;
import ottergauge.routing.Router;
import ottergauge.transport.SelfRequestWarmUp.Situation;

/**
 * Runs one node on sockets: hands each event to the router and performs its effects, everything on
 * one event loop. The public methods may be called on any thread.
 */
public final class NodeServer {

    private static final Logger LOG = LoggerFactory.getLogger(NodeServer.class);

    /**
     * The period at which this process reads the state of the node's other processes; a drain takes
     * much longer.
     */
    private static final long HOT_RESTART_SYNC_PERIOD_MS = 100;

    private static final long VISIBLE_AFTER_MS = 2 * HOT_RESTART_SYNC_PERIOD_MS;
    private static final String SERVER_SIDE = "server";

    private final NodeConfig config;
    private final Clock clock = new Clock();
    private final long createdAt;
    private final EventLoopMonitor monitor = new EventLoopMonitor(System::nanoTime);
    private final ConnectionLimiter limiter = new ConnectionLimiter(monitor);
    private final Vertx vertx;
    private final ContextInternal context;
    private final NetClient client;
    private final Router router;
    private final DownstreamConnections clients;
    private final AdminListener admin;
    private final Optional<HotRestartDirectory> hotRestart;
    private final EventQueue events = new EventQueue(this::handle);
    private final EffectPerformer effects;
    private final Promise<Void> ended = Promise.promise();
    private Listener listener;
    private boolean otherProcessAlive;
    private boolean serving;

    /**
     * Creates a node that does not listen yet.
     *
     * @param hotRestartDirectory where the node's processes share their state; without it, or
     *     without an admin address, a node has one process at a time
     */
    public NodeServer(NodeConfig config, Optional<Path> hotRestartDirectory) {
        hotRestart =
                config.admin().isEmpty()
                        ? Optional.empty()
                        : hotRestartDirectory.flatMap(each -> open(each, config.maxListBytes()));
        this.config = hotRestart.map(shared -> shared.withCachedList(config)).orElse(config);
        createdAt = System.nanoTime();
        vertx = SingleLoopTransport.vertx(monitor);
        context = (ContextInternal) vertx.getOrCreateContext();
        client = vertx.createNetClient();
        router = new Router(this.config, SingleLoopTransport.maxIoMemoryBytes(), this::perform);
        clients = new DownstreamConnections(monitor, events::take);
        admin = new AdminListener(context.nettyEventLoop(), monitor, events::take);
        OutboundConnection.Dialer dialer = OutboundConnection.dialer(client);
        effects =
                new EffectPerformer(
                        context.nettyEventLoop(),
                        monitor,
                        events,
                        new Timers(clock::micros, this::schedule),
                        limiter,
                        clients,
                        new UpstreamConnector(this::connectUpstream, events::take),
                        new DiscoveryClient(dialer, config.maxListBytes(), events::take),
                        admin,
                        hotRestart);
    }

    // A node can serve without the directory. An upgrade is then like a plain restart: the next
    // process gets no state from this one.
    private static Optional<HotRestartDirectory> open(Path directory, int maxListBytes) {
        try {
            return Optional.of(new HotRestartDirectory(directory, maxListBytes));
        } catch (IOException e) {
            LOG.error(
                    "{} cannot be shared with the next process: {}",
                    directory.getFileName(),
                    e.toString());
            return Optional.empty();
        }
    }

    private void schedule(long millis, Runnable task) {
        vertx.setTimer(millis, fired -> task.run());
    }

    private Future<OutboundConnection> connectUpstream(Address address, long timeoutMs) {
        return OutboundConnection.connect(
                client, SERVER_SIDE, address, timeoutMs, BodyLimits.MAX_BUFFERED_BYTES);
    }

    /** Starts the node; the future fails if an address is already in use. */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        context.runOnContext(
                run -> {
                    router.start(clock.micros());
                    syncWithOtherProcesses();
                    listen().onComplete(started);
                });
        return started.future();
    }

    // The admin listener is opened first, and reports the node as not ready until the node serves
    // clients.
    private Future<Void> listen() {
        boolean shared = config.admin().isPresent();
        return config.admin()
                .map(this::listenForAdmins)
                .orElseGet(() -> Future.succeededFuture(0))
                .compose(warm -> untilOtherProcessSeesThis())
                .compose(
                        seen ->
                                clients.listen(
                                        context.nettyEventLoop(), config.listen(), shared, limiter))
                .onSuccess(this::onListening)
                .compose(
                        listening ->
                                shared
                                        ? Future.succeededFuture(0)
                                        : warmUp(config.listen(), Paths.LIVE))
                .onSuccess(warm -> startServing())
                .mapEmpty();
    }

    // The other process must know this one before this one serves: it looks for trace ids in the
    // files of the processes that it has seen.
    private Future<Void> untilOtherProcessSeesThis() {
        long passedMs = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - createdAt);
        if (!otherProcessAlive || passedMs >= VISIBLE_AFTER_MS) {
            return Future.succeededFuture();
        }
        Promise<Void> visible = Promise.promise();
        schedule(VISIBLE_AFTER_MS - passedMs, visible::complete);
        return visible.future();
    }

    private Future<Integer> listenForAdmins(Address address) {
        return admin.listen(address)
                .compose(
                        listening -> {
                            LOG.info("{} listens for admin requests on {}", config.name(), address);
                            return warmUp(address, AdminConnection.HEALTH_PATH);
                        });
    }

    private Future<Integer> warmUp(Address ownAddress, String path) {
        Situation situation =
                config.admin().isEmpty()
                        ? Situation.NO_ADMIN_ADDRESS
                        : otherProcessAlive ? Situation.OTHER_PROCESS_SERVES : Situation.ALONE;
        int nodes = config.settings().decisions().nodeCount();
        return SelfRequestWarmUp.run(client, ownAddress, path, nodes, situation)
                .onSuccess(
                        requests ->
                                LOG.info(
                                        "{} sent {} warm-up requests to itself",
                                        config.name(),
                                        requests));
    }

    private void onListening(Listener listening) {
        listener = listening;
        LOG.info("{} listens on {}", config.name(), config.listen());
    }

    private void startServing() {
        admin.startServing();
        clients.startServing();
        events.take(new Event.ServingStarted());
        serving = true;
        hotRestart.ifPresent(shared -> shared.processes().publish(true, router.connections()));
    }

    private void syncWithOtherProcesses() {
        if (hotRestart.isEmpty()) {
            return;
        }
        HotRestartDirectory shared = hotRestart.get();
        events.take(new Event.MaintenanceLoaded(shared.maintenance().read()));
        shared.processes().publish(serving, router.connections());
        HotRestartProcesses.OtherProcesses others = shared.others();
        if (others.alive() != otherProcessAlive) {
            otherProcessAlive = others.alive();
            LOG.info(
                    "{} runs {}",
                    config.name(),
                    otherProcessAlive ? "beside another process" : "alone again");
            events.take(new Event.HotRestartPeerSeen(otherProcessAlive, others.connections()));
        } else if (otherProcessAlive) {
            events.take(new Event.HotRestartPeerSeen(true, others.connections()));
        }
        vertx.setTimer(HOT_RESTART_SYNC_PERIOD_MS, due -> syncWithOtherProcesses());
    }

    /**
     * Begins a graceful shutdown; the future completes once all requests have been responded to.
     */
    public Future<Void> stop() {
        context.runOnContext(
                run -> {
                    boolean handover =
                            hotRestart
                                    .map(shared -> shared.processes().others().serving())
                                    .orElse(false);
                    LOG.info(
                            "{} is shutting down{}",
                            config.name(),
                            handover ? ", another process takes its clients" : "");
                    events.take(new Event.ShutdownRequested(handover));
                });
        return ended.future();
    }

    /** Applies the parts of a new configuration that can change while the node runs. */
    public void reconfigure(NodeConfig next) {
        context.runOnContext(
                run -> {
                    logReconfiguration(next);
                    events.take(new Event.Reconfigured(next));
                });
    }

    private void logReconfiguration(NodeConfig next) {
        LOG.info(
                "{} reloads its configuration: discovery at {}, at most {} descriptors",
                config.name(),
                next.discovery(),
                next.maxDescriptors());
        if (router.version().isPresent()) {
            LOG.info(
                    "{} keeps the settings from the change log and ignores those in the file",
                    config.name());
        } else if (!next.settings().equals(router.settings())) {
            LOG.info(
                    "{} applies new settings with {} request classes",
                    config.name(),
                    next.settings().decisions().requestClasses().size());
        }
        if (!next.listen().equals(config.listen())
                || next.memoryMb() != config.memoryMb()
                || !next.admin().equals(config.admin())) {
            LOG.warn("the new addresses and memory limit take effect at the next start");
        }
    }

    private void handle(Event event) {
        monitor.beginHandling();
        try {
            router.handle(clock.micros(), event);
        } catch (RuntimeException e) {
            LOG.error("an event was not handled: {}", event, e);
        }
    }

    // The router is still handling an event, which a failed effect must not interrupt.
    private void perform(Effect effect) {
        try {
            if (effect instanceof Effect.StopAccepting) {
                listener.drainAndClose();
            } else if (effect instanceof Effect.Exit) {
                exit();
            } else {
                effects.perform(effect);
            }
        } catch (RuntimeException e) {
            LOG.error("{} could not be carried out", effect, e);
            effects.closeConnectionOf(effect);
        }
    }

    private void exit() {
        LOG.info("{} stopped: all pending requests responded to", config.name());
        hotRestart.ifPresent(shared -> shared.unregister());
        if (listener != null) {
            listener.close();
        }
        clients.whenEmpty(ended::tryComplete);
    }
}
