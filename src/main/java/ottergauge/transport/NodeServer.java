// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.internal.VertxBootstrap;
import io.vertx.core.net.NetClient;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.protocol.Headers;
import ottergauge.protocol.NodeConfig;
import ottergauge.routing.CloseReason;
import ottergauge.routing.Effect;
import ottergauge.routing.Event;
import ottergauge.routing.Router;

/** One node on sockets: brings the router every event in turn, on one thread, and carries out its effects. */
public final class NodeServer {

    private static final Logger LOG = LoggerFactory.getLogger(NodeServer.class);

    private final NodeConfig config;
    private final Clock clock = new Clock();
    private final AcceptGate gate = new AcceptGate();
    private final Vertx vertx;
    private final Context context;
    private final Router router;
    private final ClientSide clients;
    private final ServerSide servers;
    private final DiscoverySide discovery;
    private final EventQueue events = new EventQueue(this::handle);
    private final Promise<Void> ended = Promise.promise();

    public NodeServer(NodeConfig config) {
        this.config = config;
        // Addresses are numbers: nothing is asked of DNS.
        System.setProperty("vertx.disableDnsResolver", "true");
        // One loop owns all; the pools for blocking work have nothing to do. No files: they count as memory.
        VertxOptions options = new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1)
            .setInternalBlockingPoolSize(1).setFileSystemOptions(new FileSystemOptions()
                .setClassPathResolvingEnabled(false).setFileCachingEnabled(false));
        vertx = VertxBootstrap.create().options(options).transport(new OneLoopTransport(gate)).init().vertx();
        context = vertx.getOrCreateContext();
        router = new Router(config, this::carryOut);
        clients = new ClientSide(events::take);
        NetClient client = vertx.createNetClient();
        servers = new ServerSide((address, timeoutMs) ->
            Outbound.connect(client, "server", address, timeoutMs, Headers.MOST_BODY), events::take);
        discovery = new DiscoverySide(vertx, client, events::take);
    }

    /** Starts to serve; the future says whether the address could be had. */
    public Future<Void> start() {
        Promise<Void> started = Promise.promise();
        context.runOnContext(run -> {
            router.start(clock.micros());
            clients.listen(vertx, config.listen())
                .onSuccess(listening -> LOG.info("{} listens on {}", config.name(), config.listen()))
                .<Void>mapEmpty().onComplete(started);
        });
        return started.future();
    }

    /** Begins to stop: what has been taken is still answered. The future completes when all is. */
    public Future<Void> stop() {
        context.runOnContext(run -> {
            LOG.info("{} was told to stop", config.name());
            events.take(new Event.StopAsked());
        });
        return ended.future();
    }

    /** Goes on with another configuration: with what of it can change while the node runs. */
    public void reconfigure(NodeConfig next) {
        context.runOnContext(run -> {
            LOG.info("{} goes on with discovery at {} and {} descriptors", config.name(), next.discovery(),
                next.sockets());
            if (!next.settings().equals(config.settings()) || !next.listen().equals(config.listen())) {
                LOG.warn("the new configuration's address and settings count from the next start on");
            }
            events.take(new Event.Reconfigured(next));
        });
    }

    private void handle(Event event) {
        try {
            router.handle(clock.micros(), event);
        } catch (RuntimeException e) {
            LOG.error("an event was not handled: {}", event, e);
        }
    }

    // The router is in the middle of an event: an effect that fails may not tear it. The connection that it
    // was for is closed, which tells the router.
    private void carryOut(Effect effect) {
        try {
            perform(effect);
        } catch (RuntimeException e) {
            LOG.error("{} could not be carried out", effect, e);
            if (effect instanceof Effect.Forward f) {
                servers.close(new Effect.CloseServer(f.connection(), CloseReason.MALFORMED));
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
        } else if (effect instanceof Effect.AskLoad e) {
            servers.askLoad(e);
        } else if (effect instanceof Effect.StartTimer e) {
            long millis = Math.max(1, (e.delay() + 999) / 1000);
            vertx.setTimer(millis, fired -> events.take(new Event.TimerFired(e.timer())));
        } else if (effect instanceof Effect.Connect e) {
            servers.connect(e);
        } else if (effect instanceof Effect.CloseServer e) {
            servers.close(e);
        } else if (effect instanceof Effect.CloseClient e) {
            clients.close(e);
        } else if (effect instanceof Effect.CallDiscovery e) {
            discovery.call(e);
        } else if (effect instanceof Effect.NotTaken e) {
            clients.log(e);
        } else if (effect instanceof Effect.AcceptUpTo e) {
            gate.most(e.connections());
        } else if (effect instanceof Effect.Exit) {
            LOG.info("{} has answered all and ends", config.name());
            ended.complete();
        }
    }
}
