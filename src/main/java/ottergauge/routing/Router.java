// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import java.util.function.Consumer;
import ottergauge.decision.DecisionEngine;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionAction;
import ottergauge.decision.api.DecisionAction.CancelAttempt;
import ottergauge.decision.api.DecisionAction.FailRequest;
import ottergauge.decision.api.DecisionAction.RejectRequest;
import ottergauge.decision.api.DecisionAction.SendAttempt;
import ottergauge.decision.api.DecisionAction.SendProbe;
import ottergauge.decision.api.DecisionAction.SetTimer;
import ottergauge.decision.api.DecisionAction.WatchEndpoints;
import ottergauge.decision.api.DecisionEvent;
import ottergauge.protocol.Content;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.NodeSettings;
import ottergauge.resources.LogPosition;
import ottergauge.routing.Effect.StartTimer;
import ottergauge.routing.Event.RequestReceived;
import ottergauge.routing.Event.ResponseReceived;

/**
 * The node's reducer: handles events and emits effects. It dispatches each event, and each action
 * of the decision module, to the class that owns the state concerned. All calls come from one
 * thread, with times in microseconds that never decrease.
 */
public final class Router {

    private static final int OK = 200;
    private static final int UNAVAILABLE = 503;
    // Bounds how late a timeout takes effect: a timeout of 2 s must take effect within 3 s.
    private static final long SWEEP_INTERVAL_MICROS = 250_000;
    private static final long UNLIMITED = Long.MAX_VALUE;

    private final NodeConfig config;
    private final Consumer<Effect> effects;
    private final DecisionEngine decisions;
    private final Deque<DecisionEvent> decisionEvents = new ArrayDeque<>();
    private final Deque<DecisionAction> decisionActions = new ArrayDeque<>();
    private final DownstreamConnections clients;
    private final UpstreamPool upstreams;
    private final SocketBudget sockets;
    private final Shutdown shutdown;
    private final EffectiveEndpoints endpoints;
    private final EffectiveSettings settings;
    private final Attempts attempts;
    private final RequestHandler requests;
    private final StreamedResponses streamedResponses;
    private final UnsizedResponses unsizedResponses;
    private final AdminState admin;
    private long now;
    private boolean serving;

    /** Creates a router that has not started, for a transport that needs no I/O memory. */
    public Router(NodeConfig config, Consumer<Effect> effects) {
        this(config, UNLIMITED, effects);
    }

    /**
     * Creates a router that has not started.
     *
     * @param ioMemoryBytes how much memory the process has for I/O buffers; bounds the number of
     *     streamed bodies
     * @param effects receives the effects in the order in which they must be carried out
     */
    public Router(NodeConfig config, long ioMemoryBytes, Consumer<Effect> effects) {
        this.config = config;
        this.effects = effects;
        NodeSettings initial = config.settings();
        decisions = new DecisionEngine(initial.decisions(), config.seed());
        Metrics metrics = new Metrics(initial.decisions().requestClasses());
        clients = new DownstreamConnections(effects);
        upstreams =
                new UpstreamPool(initial.connectTimeout(), initial.serverIdleTimeout(), effects);
        sockets = new SocketBudget(config.admin().isPresent(), clients, upstreams, effects);
        clients.setBufferBudget(new BufferBudget(config.memoryMb(), sockets));
        shutdown = new Shutdown(clients, effects);
        endpoints =
                new EffectiveEndpoints(
                        config, upstreams, decisionEvents::add, this::endAsNotSent, effects);
        settings = new EffectiveSettings(config, endpoints, upstreams, metrics);
        InFlightRequests inFlight = new InFlightRequests(config.admin().isPresent(), effects);
        StreamBudget streams = new StreamBudget(config.memoryMb(), ioMemoryBytes, sockets);
        unsizedResponses =
                new UnsizedResponses(inFlight, upstreams, streams, shutdown, decisions, effects);
        attempts =
                new Attempts(
                        upstreams,
                        inFlight,
                        unsizedResponses,
                        sockets,
                        settings,
                        endpoints.watch(),
                        decisions,
                        metrics,
                        decisionEvents::add,
                        effects);
        requests =
                new RequestHandler(
                        inFlight,
                        clients,
                        attempts,
                        upstreams,
                        streams,
                        unsizedResponses,
                        settings,
                        shutdown,
                        metrics,
                        decisionEvents::add,
                        effects);
        streamedResponses =
                new StreamedResponses(requests, attempts, clients, upstreams, streams, metrics);
        admin =
                new AdminState(
                        metrics,
                        endpoints.registry(),
                        name -> decisions.endpointStatus(now, EndpointIds.of(name)),
                        this::maintenanceChanged,
                        effects);
    }

    /** Starts with the known endpoints of the configuration. */
    public void start(long at) {
        now = at;
        endpoints.start(now, config.knownEndpoints());
        effects.accept(new StartTimer(SWEEP_INTERVAL_MICROS, new Timer.Sweep()));
        sockets.setMaxDescriptors(config.maxDescriptors());
        runDecisions();
    }

    /** Handles one event. */
    public void handle(long at, Event event) {
        now = at;
        dispatch(event);
        runDecisions();
        shutdown.exitIfDone();
    }

    // The most frequent events are tested first.
    private void dispatch(Event event) {
        if (event instanceof RequestReceived e) {
            requests.received(now, e.client(), e.request(), e.ageMicros(), false);
        } else if (event instanceof ResponseReceived e) {
            upstreams
                    .responseCompleted(now, e.connection(), e.response().reusable())
                    .ifPresent(attempt -> requests.responseReceived(now, attempt, e.response()));
        } else if (event instanceof Event.TimerFired e) {
            timerFired(e.timer());
        } else if (!dispatchClientEvent(event)
                && !dispatchUpstreamEvent(event)
                && !dispatchEndpointEvent(event)) {
            dispatchNodeEvent(event);
        }
    }

    private boolean dispatchClientEvent(Event event) {
        if (event instanceof Event.RequestHeadReceived e) {
            clients.headReceived(now, e.client());
        } else if (event instanceof Event.RequestHeadStarted e) {
            clients.headStarted(now, e.client());
        } else if (event instanceof Event.BodyProgress e) {
            clients.bodyProgress(now, e.client(), e.bytes());
        } else if (event instanceof Event.BodyBufferGrown e) {
            requests.bodyBufferGrown(now, e.client(), e.bytes());
        } else if (event instanceof Event.StreamedRequestStarted e) {
            requests.received(now, e.client(), e.request(), 0, true);
        } else if (event instanceof Event.RequestBodyFlowChanged e) {
            requests.bodyFlowChanged(now, e.client(), e.blocked());
        } else if (event instanceof Event.StreamedRequestCompleted e) {
            requests.streamCompleted(now, e.client());
        } else if (event instanceof Event.ResponseWritten e) {
            clients.responseWritten(now, e.client());
        } else if (event instanceof Event.RelayChecked e) {
            requests.relayChecked(now, e.client(), e.clientBehind());
        } else if (event instanceof Event.ClientConnected e) {
            clients.connected(now, e.client());
            sockets.clientConnected(now, e.client());
        } else if (event instanceof Event.ClientClosed e) {
            requests.clientClosed(now, e.client());
        } else if (event instanceof Event.HealthRequested e) {
            int status = e.readiness() && !isReady() ? UNAVAILABLE : OK;
            clients.respond(now, e.client(), status, 0, Content.NONE, false);
        } else if (event instanceof Event.InvalidRequest e) {
            requests.invalidReceived(now, e);
        } else if (event instanceof Event.TraceIdTaken e) {
            requests.traceIdTaken(now, e.request());
        } else {
            return false;
        }
        return true;
    }

    private boolean dispatchUpstreamEvent(Event event) {
        if (event instanceof Event.PendingInputRead e) {
            upstreams
                    .pendingSend(e.connection(), e.attempt())
                    .ifPresent(attempt -> requests.send(now, attempt, e.clientCaughtUp()));
        } else if (event instanceof Event.RequestWritten e) {
            upstreams
                    .sendCompleted(e.connection())
                    .ifPresent(attempt -> requests.requestWritten(now, attempt));
        } else if (event instanceof Event.StreamedResponseStarted e) {
            streamedResponses.started(now, e);
        } else if (event instanceof Event.UnsizedResponseStarted e) {
            upstreams
                    .attemptOn(e.connection())
                    .ifPresent(
                            attempt ->
                                    attempts.unsizedResponseBegun(
                                            now, attempt, e.status(), e.neverRan()));
        } else if (event instanceof Event.UnsizedBodyStarted e) {
            upstreams
                    .attemptOn(e.connection())
                    .ifPresent(attempt -> attempt.bodyBegunWithHead = true);
        } else if (event instanceof Event.UnsizedResponseProgressed e) {
            upstreams
                    .attemptOn(e.connection())
                    .filter(Attempt::hasResponseBegun)
                    .ifPresent(unsizedResponses::progressed);
        } else if (event instanceof Event.StreamedResponseCompleted e) {
            streamedResponses.completed(now, e.connection(), e.reusable());
        } else if (event instanceof Event.UpstreamConnected e) {
            upstreams.connected(now, e.connection());
        } else if (event instanceof Event.UpstreamConnectFailed e) {
            upstreams
                    .connectFailed(now, e.connection())
                    .ifPresent(attempt -> attempts.end(now, attempt, AttemptResult.CONNECT_FAILED));
        } else if (event instanceof Event.UpstreamClosed e) {
            upstreams
                    .closed(e.connection())
                    .ifPresent(
                            attempt ->
                                    streamedResponses.connectionClosed(
                                            now, attempt, e.malformed()));
        } else {
            return false;
        }
        return true;
    }

    private boolean dispatchEndpointEvent(Event event) {
        if (event instanceof Event.EndpointListReceived e) {
            endpoints.received(now, e.poll(), e.list());
        } else if (event instanceof Event.DiscoveryPollFailed e) {
            endpoints.watch().pollFailed(now, e.poll());
        } else if (event instanceof Event.EndpointListRejected e) {
            endpoints.watch().listRejected(now, e.poll());
        } else if (event instanceof Event.StateChanged e) {
            settings.changeState(now, e);
        } else if (event instanceof Event.Reconfigured e) {
            sockets.setMaxDescriptors(e.config().maxDescriptors());
            endpoints.watch().move(now, e.config().discovery());
            settings.reconfigure(now, e.config().settings());
        } else {
            return false;
        }
        return true;
    }

    private void dispatchNodeEvent(Event event) {
        if (event instanceof Event.AdminRequestReceived e) {
            admin.handle(now, isReady(), e.connection(), e.request());
        } else if (event instanceof Event.MaintenanceLoaded e) {
            admin.maintenanceLoaded(now, e.sinceByServer());
        } else if (event instanceof Event.HotRestartPeerSeen e) {
            sockets.setPeer(e.present(), e.connections());
        } else if (event instanceof Event.ServingStarted) {
            serving = true;
        } else if (event instanceof Event.ShutdownRequested e) {
            shutdown.begin(now, e.handover(), settings.classes().longestDeadline());
        }
    }

    private void timerFired(Timer timer) {
        if (timer instanceof Timer.Decision decision) {
            decisionEvents.add(new DecisionEvent.TimerFired(decision.token()));
        } else if (timer instanceof Timer.AttemptTimeout timeout) {
            attempts.timedOut(now, timeout.attempt());
        } else if (timer instanceof Timer.ConnectTimeout timeout) {
            upstreams
                    .connectTimedOut(now, timeout.connection())
                    .ifPresent(attempt -> attempts.connectTimedOut(now, attempt));
        } else if (timer instanceof Timer.ResponseBufferTimeout timeout) {
            unsizedResponses.bufferTimedOut(timeout.connection(), timeout.attempt());
        } else if (timer instanceof Timer.FallbackDue due) {
            if (unsizedResponses.fallbackDue(due.request(), due.attempt())) {
                requests.refusePostponed(now, due.request());
            }
        } else if (timer instanceof Timer.PollTimeout timeout) {
            endpoints.watch().pollTimedOut(now, timeout.poll());
        } else if (timer instanceof Timer.NextPoll next) {
            endpoints.watch().resume(now, next.afterPoll());
        } else if (timer instanceof Timer.LastResponseDue) {
            requests.endUnanswered(now);
        } else if (timer instanceof Timer.QuietPeriodOver) {
            shutdown.quietPeriodOver();
        } else {
            upstreams.sweep(now);
            clients.sweep(now);
            shutdown.sweep();
            effects.accept(new StartTimer(SWEEP_INTERVAL_MICROS, timer));
        }
    }

    private boolean isReady() {
        return serving && !shutdown.hasBegun();
    }

    private void endAsNotSent(Attempt attempt) {
        attempts.end(now, attempt, AttemptResult.NOT_SENT);
    }

    // An operator's change takes effect before the operator receives the response.
    private void maintenanceChanged(EndpointList changes) {
        endpoints.applyMaintenance(changes);
        runDecisions();
    }

    private void runDecisions() {
        while (!decisionEvents.isEmpty()) {
            decisions.handle(now, decisionEvents.poll(), decisionActions::add);
            while (!decisionActions.isEmpty()) {
                execute(decisionActions.poll());
            }
        }
    }

    private void execute(DecisionAction action) {
        if (action instanceof SendAttempt a) {
            attempts.start(now, a);
        } else if (action instanceof SendProbe a) {
            attempts.start(now, a);
        } else if (action instanceof SetTimer a) {
            effects.accept(new StartTimer(a.delay(), new Timer.Decision(a.token())));
        } else if (action instanceof CancelAttempt a) {
            attempts.cancel(now, a);
        } else if (action instanceof RejectRequest a) {
            requests.reject(now, a.id(), a.retryAfter());
        } else if (action instanceof FailRequest a) {
            requests.fail(now, a.id());
        } else if (action instanceof WatchEndpoints) {
            endpoints.watch().begin(now);
        }
    }

    /** The effective settings. */
    public NodeSettings settings() {
        return settings.current();
    }

    /** The effective version of the change log; empty unless the state comes from the log. */
    public Optional<LogPosition> version() {
        return settings.version();
    }

    /** The number of open connections, of clients and to servers. */
    public int connections() {
        return clients.openCount() + upstreams.openCount();
    }
}
