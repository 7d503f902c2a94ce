// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.EventLoop;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.internal.ContextInternal;
import io.vertx.core.net.NetClient;
import java.io.IOException;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.protocol.Address;
import ottergauge.protocol.BodyLimits;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.Paths;
import ottergauge.routing.CloseReason;
import ottergauge.routing.Effect;
import ottergauge.routing.Event;
import ottergauge.routing.Router;

/**
 * One node on sockets: brings the router every event in turn, on one thread, and carries out its
 * effects.
 */
public final class NodeServer {

    private static final Logger LOG = LoggerFactory.getLogger(NodeServer.class);
    // What another process of this node was told is followed so soon: well within what a drain
    // allows.
    private static final long LOOK_EVERY_MS = 100;

    private final NodeConfig config;
    private final Clock clock = new Clock();
    private final EventLoopMonitor watch = new EventLoopMonitor(System::nanoTime);
    private final ConnectionLimiter gate = new ConnectionLimiter(watch);
    private final Vertx vertx;
    private final ContextInternal context;
    private final NetClient client;
    private final Router router;
    private final DownstreamConnections clients;
    private final UpstreamConnector servers;
    private final DiscoveryClient discovery;
    private final AdminListener door;
    private final HotRestartDirectory shared;
    private final EventQueue events = new EventQueue(this::handle);
    private final Timers timers;
    private final Promise<Void> ended = Promise.promise();
    private Listener listener;
    private boolean accompanied;
    private boolean serving;

    /** A node; without a folder that its processes share, it has one process at a time. */
    public NodeServer(NodeConfig told, Path folder) {
        shared =
                told.admin().isEmpty() || folder == null ? null : open(folder, told.maxListBytes());
        config = shared == null ? told : shared.freshest(told);
        vertx = SingleLoopTransport.vertx(watch);
        context = (ContextInternal) vertx.getOrCreateContext();
        timers =
                new Timers(
                        clock::micros,
                        (millis, task) -> vertx.setTimer(millis, fired -> task.run()));
        router = new Router(config, this::carryOut);
        clients = new DownstreamConnections(watch, events::take);
        client = vertx.createNetClient();
        servers =
                new UpstreamConnector(
                        (address, timeoutMs) ->
                                OutboundConnection.connect(
                                        client,
                                        "server",
                                        address,
                                        timeoutMs,
                                        BodyLimits.MAX_BUFFERED_BYTES),
                        events::take);
        discovery = new DiscoveryClient(OutboundConnection.dialer(client), config.maxListBytes(), events::take);
        door = new AdminListener(context.nettyEventLoop(), watch, events::take);
    }

    // Without it a node serves all the same: an upgrade then ends like a restart.
    private static HotRestartDirectory open(Path folder, int mostListBytes) {
        try {
            return new HotRestartDirectory(folder, mostListBytes);
        } catch (IOException e) {
            LOG.error(
                    "{} cannot be shared with a next process: {}",
                    folder.getFileName(),
                    e.toString());
            return null;
        }
    }

    /** Starts to serve; the future says whether its addresses could be had. */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        context.runOnContext(
                run -> {
                    router.start(clock.micros());
                    look();
                    boolean shares = config.admin().isPresent();
                    openDoor()
                            .compose(
                                    warm ->
                                            clients.listen(
                                                    context.nettyEventLoop(),
                                                    config.listen(),
                                                    shares,
                                                    gate))
                            .onSuccess(this::listening)
                            .compose(
                                    listening ->
                                            shares
                                                    ? Future.succeededFuture(0)
                                                    : warmUp(config.listen(), Paths.LIVE))
                            .onSuccess(warm -> serves())
                            .<Void>mapEmpty()
                            .onComplete(started);
                });
        return started.future();
    }

    // The door comes first, and says no until clients are taken.
    private Future<Integer> openDoor() {
        return config.admin().map(this::openDoor).orElseGet(() -> Future.succeededFuture(0));
    }

    private Future<Integer> openDoor(Address address) {
        return door.listen(address)
                .compose(
                        listening -> {
                            LOG.info("{} answers operators on {}", config.name(), address);
                            return warmUp(address, AdminConnection.HEALTH);
                        });
    }

    // With no door it is the clients' address that is called, and the node is not ready before that
    // is done.
    private Future<Integer> warmUp(Address own, String path) {
        boolean away = config.admin().isEmpty();
        return SelfRequestWarmUp.run(
                        client,
                        own,
                        path,
                        config.settings().decisions().nodeCount(),
                        away,
                        accompanied)
                .onSuccess(calls -> LOG.info("{} called itself {} times", config.name(), calls));
    }

    private void listening(Listener listening) {
        listener = listening;
        LOG.info("{} listens on {}", config.name(), config.listen());
    }

    private void serves() {
        door.opened();
        clients.opened();
        events.take(new Event.ServingStarted());
        serving = true;
        if (shared != null) {
            shared.siblings().tell(true, router.connections());
        }
    }

    // What the node's other process was told, and whether there is one.
    private void look() {
        if (shared == null) {
            return;
        }
        events.take(new Event.MaintenanceLoaded(shared.held().read()));
        shared.siblings().tell(serving, router.connections());
        HotRestartProcesses.Company company = shared.siblings().look();
        if (company.lives() != accompanied) {
            accompanied = company.lives();
            LOG.info(
                    "{} runs {}",
                    config.name(),
                    accompanied ? "beside another process" : "alone again");
            events.take(new Event.HotRestartPeerSeen(accompanied, company.connections()));
        } else if (accompanied) {
            events.take(new Event.HotRestartPeerSeen(true, company.connections()));
        }
        vertx.setTimer(LOOK_EVERY_MS, due -> look());
    }

    /** Begins to stop: what has been taken is still answered. The future completes when all is. */
    public Future<Void> stop() {
        context.runOnContext(
                run -> {
                    boolean succeeded = shared != null && shared.siblings().look().serves();
                    LOG.info(
                            "{} was told to stop{}",
                            config.name(),
                            succeeded ? ", another process takes its clients" : "");
                    events.take(new Event.ShutdownRequested(succeeded));
                });
        return ended.future();
    }

    /** Goes on with another configuration: with what of it can change while the node runs. */
    public void reconfigure(NodeConfig next) {
        context.runOnContext(
                run -> {
                    LOG.info(
                            "{} goes on with discovery at {} and {} descriptors",
                            config.name(),
                            next.discovery(),
                            next.maxDescriptors());
                    if (router.version().isPresent()) {
                        LOG.info(
                                "{} keeps the settings of the log of changes, not those of the"
                                        + " file",
                                config.name());
                    } else if (!next.settings().equals(router.settings())) {
                        LOG.info(
                                "{} goes on with other settings, of {} classes",
                                config.name(),
                                next.settings().decisions().requestClasses().size());
                    }
                    if (!next.listen().equals(config.listen())
                            || next.memoryMb() != config.memoryMb()
                            || !next.admin().equals(config.admin())) {
                        LOG.warn(
                                "the new configuration's addresses and memory count from the next"
                                        + " start on");
                    }
                    events.take(new Event.Reconfigured(next));
                });
    }

    private void handle(Event event) {
        watch.handles();
        try {
            router.handle(clock.micros(), event);
        } catch (RuntimeException e) {
            LOG.error("an event was not handled: {}", event, e);
        }
    }

    // The router is in the middle of an event: an effect that fails may not tear it. The connection
    // that it
    // was for is closed, which tells the router.
    private void carryOut(Effect effect) {
        try {
            perform(effect);
        } catch (RuntimeException e) {
            LOG.error("{} could not be carried out", effect, e);
            if (effect instanceof Effect.ForwardStream f) {
                servers.close(new Effect.CloseUpstream(f.connection(), CloseReason.MALFORMED));
            } else if (effect instanceof Effect.RelayResponse p) {
                clients.close(new Effect.CloseClient(p.client(), CloseReason.MALFORMED));
            } else if (effect instanceof Effect.Forward f) {
                servers.close(new Effect.CloseUpstream(f.connection(), CloseReason.MALFORMED));
            } else if (effect instanceof Effect.Respond r) {
                clients.close(new Effect.CloseClient(r.client(), CloseReason.MALFORMED));
            }
        }
    }

    private void perform(Effect effect) {
        if (effect instanceof Effect.Respond e) {
            clients.respond(e);
        } else if (effect instanceof Effect.Forward e) {
            servers.forward(e);
        } else if (effect instanceof Effect.ForwardStream e) {
            clients.forward(e, servers.connection(e.connection()));
        } else if (effect instanceof Effect.StreamResponse e) {
            servers.flowNow(e);
        } else if (effect instanceof Effect.RelayResponse e) {
            clients.passOn(e, servers.connection(e.connection()));
        } else if (effect instanceof Effect.ReadPendingInput e) {
            readAll(e);
        } else if (effect instanceof Effect.ProbeLoad e) {
            servers.askLoad(e);
        } else if (effect instanceof Effect.StartTimer e) {
            timers.start(e.delayMicros(), () -> events.take(new Event.TimerFired(e.timer())));
        } else if (effect instanceof Effect.ConnectUpstream e) {
            servers.connect(e);
        } else if (effect instanceof Effect.CloseUpstream e) {
            servers.close(e);
        } else if (effect instanceof Effect.CloseClient e) {
            clients.close(e);
        } else if (effect instanceof Effect.PollDiscovery e) {
            discovery.call(e);
        } else if (effect instanceof Effect.CancelPoll e) {
            discovery.giveUp(e);
        } else if (effect instanceof Effect.ReportInvalidRequest e) {
            clients.log(e);
        } else if (effect instanceof Effect.AcceptUpTo e) {
            gate.most(e.connections());
        } else {
            performForOperators(effect);
        }
    }

    // What has come by now is read before the loop runs tasks, and the end of a connection that was
    // read is
    // told by a task: so it is the second one from now. After a long round more has come since.
    private void readAll(Effect.ReadPendingInput effect) {
        EventLoop loop = context.nettyEventLoop();
        Runnable read =
                () ->
                        loop.execute(
                                () -> events.take(new Event.PendingInputRead(effect.connection())));
        if (watch.behind()) {
            loop.schedule(read, 1, TimeUnit.MILLISECONDS);
        } else {
            loop.execute(read);
        }
    }

    private void performForOperators(Effect effect) {
        if (effect instanceof Effect.RespondToAdmin e) {
            door.tell(e);
        } else if (effect instanceof Effect.StoreMaintenance e) {
            LOG.info("{} is held out", e.server());
            if (shared != null) {
                shared.held().keep(e.server(), e.sinceMicros());
            }
        } else if (effect instanceof Effect.ClearMaintenance e) {
            LOG.info("{} is put back", e.server());
            if (shared != null) {
                shared.held().drop(e.server());
            }
        } else if (effect instanceof Effect.CacheEndpoints e) {
            if (shared != null) {
                shared.list().keep(e.list());
            }
        } else if (effect instanceof Effect.StopAccepting) {
            listener.drainAndClose();
        } else if (effect instanceof Effect.Exit) {
            LOG.info("{} has answered all and ends", config.name());
            if (shared != null) {
                shared.siblings().vanish();
            }
            if (listener != null) {
                listener.close();
            }
            clients.whenNoneIsLeft(ended::tryComplete);
        }
    }
}
