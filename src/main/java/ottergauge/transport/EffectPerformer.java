// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.EventLoop;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.routing.CloseReason;
import ottergauge.routing.Effect;
import ottergauge.routing.Event;

/** Performs the router's effects, except for those that stop the node. */
final class EffectPerformer {

    private static final Logger LOG = LoggerFactory.getLogger(EffectPerformer.class);
    private static final long NEXT_ROUND_MS = 1;

    private final EventLoop loop;
    private final EventLoopMonitor monitor;
    private final EventQueue events;
    private final Timers timers;
    private final ConnectionLimiter limiter;
    private final DownstreamConnections clients;
    private final UpstreamConnector servers;
    private final DiscoveryClient discovery;
    private final AdminListener admin;
    private final Optional<HotRestartDirectory> hotRestart;

    EffectPerformer(
            EventLoop loop,
            EventLoopMonitor monitor,
            EventQueue events,
            Timers timers,
            ConnectionLimiter limiter,
            DownstreamConnections clients,
            UpstreamConnector servers,
            DiscoveryClient discovery,
            AdminListener admin,
            Optional<HotRestartDirectory> hotRestart) {
        this.loop = loop;
        this.monitor = monitor;
        this.events = events;
        this.timers = timers;
        this.limiter = limiter;
        this.clients = clients;
        this.servers = servers;
        this.discovery = discovery;
        this.admin = admin;
        this.hotRestart = hotRestart;
    }

    void perform(Effect effect) {
        if (effect instanceof Effect.Respond e) {
            clients.respond(e);
        } else if (effect instanceof Effect.Forward e) {
            servers.forward(e);
        } else if (effect instanceof Effect.ForwardStream e) {
            clients.relayRequest(e, servers.connection(e.connection()));
        } else if (effect instanceof Effect.StreamResponse e) {
            servers.streamResponse(e);
        } else if (effect instanceof Effect.RelayResponse e) {
            clients.relayResponse(e, servers.connection(e.connection()));
        } else if (effect instanceof Effect.CheckRelay e) {
            events.take(new Event.RelayChecked(e.client(), clients.isBehind(e.client())));
        } else if (effect instanceof Effect.ReadPendingInput e) {
            readPendingInput(e);
        } else if (effect instanceof Effect.ProbeLoad e) {
            servers.probeLoad(e);
        } else if (effect instanceof Effect.StartTimer e) {
            timers.start(e.delayMicros(), () -> events.take(new Event.TimerFired(e.timer())));
        } else if (effect instanceof Effect.ConnectUpstream e) {
            servers.connect(e);
        } else if (effect instanceof Effect.CloseUpstream e) {
            servers.close(e);
        } else if (effect instanceof Effect.CloseClient e) {
            clients.close(e);
        } else if (effect instanceof Effect.PollDiscovery e) {
            discovery.poll(e);
        } else if (effect instanceof Effect.CancelPoll e) {
            discovery.cancel(e);
        } else if (effect instanceof Effect.ReportInvalidRequest e) {
            clients.log(e);
        } else if (effect instanceof Effect.ReportFailedRequest e) {
            log(e);
        } else if (effect instanceof Effect.ClaimTraceId e) {
            claimTraceId(e);
        } else if (effect instanceof Effect.ReleaseTraceId e) {
            hotRestart.ifPresent(shared -> shared.traceIds().release(e.traceIdHash()));
        } else if (effect instanceof Effect.AcceptUpTo e) {
            limiter.setLimit(e.connections());
        } else {
            performAdministration(effect);
        }
    }

    // The loop reads the input that has arrived before it runs its tasks, and it reports the end of
    // a connection in such a task. The event is therefore sent by a second task, which the first
    // task schedules. If this round has taken long, more input has arrived meanwhile, and the next
    // round reads it first. A client that is not read while its request waits is read in the first
    // task.
    private void readPendingInput(Effect.ReadPendingInput effect) {
        Runnable afterReading =
                () -> {
                    OptionalLong paused = effect.pausedClient();
                    boolean caughtUp = paused.isEmpty() || clients.readAhead(paused.getAsLong());
                    Event read =
                            new Event.PendingInputRead(
                                    effect.connection(), effect.attempt(), caughtUp);
                    loop.execute(() -> events.take(read));
                };
        if (monitor.isBehind()) {
            LoopTasks.schedule(loop, afterReading, NEXT_ROUND_MS, TimeUnit.MILLISECONDS);
        } else {
            loop.execute(afterReading);
        }
    }

    private static void log(Effect.ReportFailedRequest effect) {
        if (effect.suppressed() > 0) {
            LOG.info("{} more failed requests were not logged", effect.suppressed());
        }
        LOG.info(
                "request failed trace={} class={} attempts={} last={}",
                effect.traceId(),
                effect.requestClass(),
                effect.attempts(),
                effect.lastResult().map(Enum::name).orElse("none"));
    }

    private void claimTraceId(Effect.ClaimTraceId effect) {
        if (hotRestart.isPresent() && !hotRestart.get().traceIds().claim(effect.traceIdHash())) {
            events.take(new Event.TraceIdTaken(effect.request()));
        }
    }

    private void performAdministration(Effect effect) {
        if (effect instanceof Effect.RespondToAdmin e) {
            admin.respond(e);
        } else if (effect instanceof Effect.StoreMaintenance e) {
            LOG.info("{} is in maintenance", e.server());
            hotRestart.ifPresent(shared -> shared.maintenance().mark(e.server(), e.sinceMicros()));
        } else if (effect instanceof Effect.ClearMaintenance e) {
            LOG.info("{} is re-enabled", e.server());
            hotRestart.ifPresent(shared -> shared.maintenance().unmark(e.server()));
        } else if (effect instanceof Effect.CacheEndpoints e) {
            hotRestart.ifPresent(shared -> shared.endpoints().write(e.list()));
        }
    }

    /** Closes the connection of a failed effect, so that the router learns of the failure. */
    void closeConnectionOf(Effect effect) {
        if (effect instanceof Effect.ForwardStream e) {
            servers.close(new Effect.CloseUpstream(e.connection(), CloseReason.MALFORMED));
        } else if (effect instanceof Effect.RelayResponse e) {
            clients.close(new Effect.CloseClient(e.client(), CloseReason.MALFORMED));
        } else if (effect instanceof Effect.Forward e) {
            servers.close(new Effect.CloseUpstream(e.connection(), CloseReason.MALFORMED));
        } else if (effect instanceof Effect.Respond e) {
            clients.close(new Effect.CloseClient(e.client(), CloseReason.MALFORMED));
        }
    }
}
