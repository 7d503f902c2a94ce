// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
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
import ottergauge.decision.api.DecisionEvent.AttemptEnded;
import ottergauge.decision.api.DecisionEvent.ClientDisconnected;
import ottergauge.decision.api.DecisionEvent.ProbeEnded;
import ottergauge.decision.api.DecisionEvent.RequestArrived;
import ottergauge.decision.api.DecisionEvent.RequestBodySent;
import ottergauge.decision.api.DecisionEvent.RequestBodyStreaming;
import ottergauge.decision.api.DecisionEvent.TimerFired;
import ottergauge.decision.api.Idempotency;
import ottergauge.decision.api.LoadReport;
import ottergauge.decision.api.RequestClass;
import ottergauge.decision.api.RequestLimits;
import ottergauge.protocol.AttemptResults;
import ottergauge.protocol.Content;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.NodeSettings;
import ottergauge.protocol.RequestFields;
import ottergauge.resources.LogPosition;
import ottergauge.routing.Effect.AcceptUpTo;
import ottergauge.routing.Effect.Exit;
import ottergauge.routing.Effect.StartTimer;
import ottergauge.routing.Effect.StopAccepting;
import ottergauge.routing.Effect.StreamResponse;
import ottergauge.routing.Event.ClientRequest;
import ottergauge.routing.Event.RequestReceived;
import ottergauge.routing.Event.ResponseReceived;
import ottergauge.routing.Event.ServerResponse;

/**
 * The node's one reducer: it owns all state, takes an event and asks for effects. It carries out
 * what the decision module decides and decides nothing itself.
 */
public final class Router {

    private static final String GET = "GET";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int CONFLICT = 409;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    // Descriptors that are no connections of clients or servers: the program's own files, standard
    // streams,
    // selector, listener and discovery, and what the operating system has not yet finished closing.
    private static final int RESERVE = 64;
    // The operators' door: its listener, its calls and the files that it keeps.
    private static final int DOOR_RESERVE = 32;
    // Connections that the listener takes at once before it looks whether it may take more.
    private static final int ACCEPTED_AT_ONCE = 16;
    // Bodies on their way at once for each MB of the memory limit. Each has a first part of 64 KiB
    // at the
    // most, or a read's worth and what is not written yet, in memory: all together an eighth of it.
    private static final int FLOWS_A_MB = 2;
    // Of these, requests: an answer that has begun was worked for, and cannot be refused any more.
    private static final double REQUESTS_PART = 0.75;
    // DownstreamConnections have this part of the sockets at most, so that there are always some for what they
    // ask.
    private static final double CLIENT_PART = 2.0 / 3;
    // Of all descriptors: what another process of the node may open between two looks at it.
    private static final double GROWTH_PART = 0.25;
    // Often enough that what is closed after 2 s is closed well within 3 s.
    private static final long SWEEP_EVERY = 250_000;
    // New connections go on coming for up to 0.4 s after the node is told to stop; 0.1 s for late
    // ones.
    private static final long FRONT_QUIET = 500_000;
    // A process that another one succeeds is killed 0.7 s after the longest deadline: by then all
    // is
    // answered, with some time to spare for its end.
    private static final long ANSWERED_AFTER = 500_000;
    // What is asked in its last moments has at least so long.
    private static final long LAST_REQUEST = 400_000;

    private final NodeConfig config;
    private final DecisionEngine decide;
    private final Consumer<Effect> effects;
    private final DownstreamConnections clients;
    private final UpstreamPool upstreams;
    private final EffectiveEndpoints list;
    private final Metrics figures;
    private final AdminState operators;
    private final Map<String, InFlightRequest> exchanges = new HashMap<>();
    private final Map<String, InFlightRequest> byTraceId = new HashMap<>();
    private final Map<Long, Attempt> jobs = new HashMap<>();

    /** The requests whose body, or whose answer's, is on its way. */
    private final Set<InFlightRequest> flowing = new HashSet<>();

    private final Deque<DecisionEvent> learnt = new ArrayDeque<>();
    private final Deque<DecisionAction> decided = new ArrayDeque<>();
    private NodeSettings settings;
    private RequestClasses classes;
    private Optional<LogPosition> version = Optional.empty();
    private int descriptors;
    private boolean accompanied;
    private int othersConnections;
    private int sockets;
    private long now;
    private long lastExchange;
    private long lastJob;
    private boolean serving;
    private boolean stopping;
    private boolean frontQuiet;
    private boolean exiting;

    /** When the last answer must be out. */
    private long lastAnswer = Long.MAX_VALUE;

    public Router(NodeConfig config, Consumer<Effect> effects) {
        this.config = config;
        this.effects = effects;
        decide = new DecisionEngine(config.settings().decisions(), config.seed());
        settings = config.settings();
        classes = new RequestClasses(config.settings().decisions().requestClasses());
        clients = new DownstreamConnections(effects);
        upstreams =
                new UpstreamPool(
                        config.settings().connectTimeout(),
                        config.settings().serverIdleTimeout(),
                        effects,
                        this::carried);
        list =
                new EffectiveEndpoints(
                        config,
                        upstreams,
                        learnt::add,
                        job -> ended(job, AttemptResult.NOT_SENT),
                        effects);
        figures = new Metrics(config.settings().decisions().requestClasses());
        operators =
                new AdminState(
                        figures,
                        list.roster(),
                        name -> decide.endpointStatus(now, EndpointIds.of(name)),
                        this::changeByHand,
                        effects);
    }

    /** Begins with the list that the node had last. */
    public void start(long at) {
        now = at;
        list.start(now, config.knownEndpoints());
        effects.accept(new StartTimer(SWEEP_EVERY, new Timer.Sweep()));
        limitSockets(config.maxDescriptors());
        decideAll();
    }

    /** Takes one event. */
    public void handle(long at, Event event) {
        now = at;
        if (event instanceof RequestReceived e) {
            requestRead(e.client(), e.request(), e.ageMicros(), false);
        } else if (event instanceof ResponseReceived e) {
            upstreams
                    .answered(now, e.connection(), e.response().reusable())
                    .ifPresent(job -> ended(job, e.response()));
        } else if (event instanceof Event.RequestHeadReceived e) {
            clients.began(now, e.client());
        } else if (event instanceof Event.RequestHeadStarted e) {
            clients.headBegan(now, e.client());
        } else if (event instanceof Event.BodyProgress e) {
            clients.moved(now, e.client(), e.bytes());
        } else if (event instanceof Event.StreamedRequestStarted e) {
            requestRead(e.client(), e.request(), 0, true);
        } else if (event instanceof Event.StreamedRequestCompleted e) {
            requestEnded(e.client());
        } else if (event instanceof Event.StreamedResponseStarted e) {
            answerFlows(e.connection(), e.response(), e.sinceHeadMicros());
        } else if (event instanceof Event.UnsizedResponseStarted e) {
            upstreams.carriedBy(e.connection()).ifPresent(this::answerOpen);
        } else if (event instanceof Event.StreamedResponseCompleted e) {
            answerEnded(e.connection(), e.reusable());
        } else if (event instanceof Event.PendingInputRead e) {
            upstreams.aboutToBegin(e.connection()).ifPresent(this::begin);
        } else if (event instanceof Event.RequestWritten e) {
            upstreams.written(e.connection()).ifPresent(this::written);
        } else if (event instanceof Event.ResponseWritten e) {
            clients.answerWritten(now, e.client());
        } else if (event instanceof Event.TimerFired e) {
            timerFired(e.timer());
        } else if (event instanceof Event.ClientConnected e) {
            clients.connected(now, e.client());
            makeRoomForClients();
        } else if (event instanceof Event.ClientClosed e) {
            InFlightRequest exchange = clients.closed(e.client());
            if (exchange != null) {
                clientGone(exchange);
            }
        } else if (event instanceof Event.UpstreamConnected e) {
            upstreams.connected(now, e.connection());
        } else if (event instanceof Event.UpstreamConnectFailed e) {
            upstreams
                    .connectFailed(now, e.connection())
                    .ifPresent(job -> ended(job, AttemptResult.CONNECT_FAILED));
        } else if (event instanceof Event.UpstreamClosed e) {
            upstreams.closed(e.connection()).ifPresent(job -> serverClosed(job, e.malformed()));
        } else if (event instanceof Event.EndpointListReceived e) {
            list.read(now, e.poll(), e.list());
        } else if (event instanceof Event.DiscoveryPollFailed e) {
            list.watch().failed(now, e.poll());
        } else if (event instanceof Event.EndpointListRejected e) {
            list.watch().notTaken(now, e.poll());
        } else if (event instanceof Event.Reconfigured e) {
            reconfigure(e.config());
        } else if (event instanceof Event.StateChanged e) {
            changeState(e);
        } else if (event instanceof Event.HealthRequested e) {
            boolean ready = serving && !stopping;
            clients.respond(
                    now,
                    e.client(),
                    e.readiness() && !ready ? UNAVAILABLE : OK,
                    0,
                    Content.NONE,
                    false);
        } else if (event instanceof Event.InvalidRequest e) {
            unreadable(e);
        } else if (event instanceof Event.AdminRequestReceived e) {
            operators.asked(now, serving && !stopping, e.connection(), e.request());
        } else if (event instanceof Event.ServingStarted) {
            serving = true;
        } else if (event instanceof Event.MaintenanceLoaded e) {
            operators.heldRead(now, e.sinceByServer());
        } else if (event instanceof Event.HotRestartPeerSeen e) {
            accompanied = e.present();
            othersConnections = e.connections();
            limitSockets(descriptors);
        } else if (event instanceof Event.ShutdownRequested e) {
            stop(e.handover());
        }
        decideAll();
        exitIfDone();
    }

    // ---- DownstreamConnections
    // ------------------------------------------------------------------------------------

    private void requestRead(long client, ClientRequest request, long waited, boolean flows) {
        RequestFields fields = request.fields();
        RequestClasses.Numbered numbered = classes.named(fields.requestClass()).orElse(null);
        if (numbered == null) {
            clients.reject(now, client, BAD_REQUEST, "unknown class " + fields.requestClass());
            return;
        }
        RequestClass type = numbered.type();
        if ((flows && type.idempotency() == Idempotency.IDEMPOTENT)
                || !fits(request, type.idempotency())) {
            clients.reject(now, client, BAD_REQUEST, "method, key or body are not the class's");
            return;
        }
        if (byTraceId.containsKey(fields.traceId())) {
            // Sent on, a server would have two copies of one request out.
            clients.reject(now, client, CONFLICT, "a request with this id is open");
            return;
        }
        long wait = fields.expiresInMs() * 1000;
        if (wait < 0) {
            wait = type.deadline();
        }
        // The client's time runs from the last byte of its request, read late or not.
        long giveUpAt = Math.min(lastAnswer, now - waited + wait);
        InFlightRequest exchange =
                new InFlightRequest(
                        Long.toString(++lastExchange),
                        client,
                        type,
                        request,
                        giveUpAt,
                        wait,
                        flows);
        exchanges.put(exchange.id, exchange);
        byTraceId.put(fields.traceId(), exchange);
        clients.took(client, exchange);
        if (!flows) {
            figures.taken();
        } else if (flowing.size() < mostFlows() * REQUESTS_PART) {
            flowing.add(exchange);
        } else {
            RequestLimits limits = settings.decisions().limits();
            answer(
                    exchange.id,
                    UNAVAILABLE,
                    limits.retryAfterAllowed() ? limits.maxRetryAfter() : 0,
                    Content.NONE);
            return;
        }
        learnt.add(
                new RequestArrived(
                        exchange.id, numbered.number(), giveUpAt, fields.retry(), key(request)));
    }

    private void unreadable(Event.InvalidRequest e) {
        InFlightRequest exchange = clients.withdraw(e.client());
        if (exchange == null) {
            clients.reject(now, e.client(), e.status(), e.reason());
            return;
        }
        // More came behind a request that is open: which answer is whose is not known any more.
        count(exchange);
        figures.failed(exchange.type);
        if (exchange.passing != null) {
            upstreams.giveUp(now, exchange.passing, CloseReason.CLIENT_GONE);
            passed(exchange);
            clients.cutShort(e.client());
            return;
        }
        learnt.add(new ClientDisconnected(exchange.id));
        over(exchange);
        clients.reject(now, e.client(), e.status(), e.reason());
    }

    private void requestEnded(long client) {
        InFlightRequest exchange = clients.readWhole(client);
        if (exchange != null) {
            exchange.giveUpAt = Math.min(lastAnswer, now + exchange.waits);
            flowing.remove(exchange);
            count(exchange);
        }
    }

    // What flows counts as taken once it has come whole, or is answered before that.
    private void count(InFlightRequest exchange) {
        if (!exchange.whole) {
            exchange.whole = true;
            figures.taken();
        }
    }

    private void clientGone(InFlightRequest exchange) {
        if (exchange.whole) {
            figures.abandoned();
        }
        if (exchange.passing != null) {
            upstreams.giveUp(now, exchange.passing, CloseReason.CLIENT_GONE);
            passed(exchange);
            return;
        }
        learnt.add(new ClientDisconnected(exchange.id));
        over(exchange);
    }

    // All bodies on their way together have this part of the memory; a process that is accompanied,
    // half.
    private int mostFlows() {
        return Math.max(2, config.memoryMb() * FLOWS_A_MB / (accompanied ? 2 : 1));
    }

    /** The connections that are open, of clients and to servers. */
    public int connections() {
        return clients.open() + upstreams.open();
    }

    private void passed(InFlightRequest exchange) {
        exchange.passing = null;
        flowing.remove(exchange);
    }

    // ---- Answers that flow
    // ----------------------------------------------------------------------------

    // Its first bytes are what is timed: for the decisions the attempt ends here, and how fast the
    // client
    // reads is not told of the server. From now on no deadline cuts it.
    private void answerFlows(long connection, ServerResponse answer, long sinceHead) {
        Attempt job = upstreams.carriedBy(connection).orElse(null);
        if (job == null) {
            return;
        }
        InFlightRequest exchange = job.exchange;
        // One that comes before its request is whole is no answer to it.
        AttemptResult result =
                exchange == null || !exchange.whole
                        ? AttemptResult.ERROR
                        : AttemptResults.ofResponse(answer.status(), answer.neverRan());
        if (result == AttemptResult.SERVED
                && !exchange.over
                && flowing.size() < mostFlows()
                && clients.passOn(now, exchange.client, connection)) {
            over(exchange);
            exchange.passing = job;
            flowing.add(exchange);
        } else {
            upstreams.giveUp(now, job, CloseReason.NOT_REUSABLE);
            result = result == AttemptResult.SERVED ? AttemptResult.ERROR : result;
        }
        job.startedAt = Math.min(now, job.startedAt + sinceHead);
        ended(job, result, answer.report());
    }

    // It may be as long as any. Over 64 KiB the first bytes are what counts: kept until its time is
    // up, they
    // would come too late. Half of what is left is enough for one that is short.
    private void answerOpen(Attempt job) {
        if (!job.isProbe()) {
            effects.accept(
                    new StartTimer(
                            Math.max(1, (job.dueAt - now) / 2),
                            new Timer.ResponseBufferTimeout(job.number)));
        }
    }

    private void flowDue(long number) {
        Attempt job = jobs.get(number);
        if (job != null && job.connection != null && !job.exchange.over) {
            effects.accept(new StreamResponse(job.connection.number));
        }
    }

    private void answerEnded(long connection, boolean reusable) {
        upstreams
                .answered(now, connection, reusable)
                .ifPresent(
                        job -> {
                            passed(job.exchange);
                            figures.completed(job.exchange.type);
                            clients.passedOn(now, job.exchange.client);
                        });
    }

    private void serverClosed(Attempt job, boolean spoilt) {
        if (!job.begun) {
            // A connection that ends before anything is written to it tells nothing of its server.
            ended(job, AttemptResult.NOT_SENT);
            return;
        }
        if (job.exchange == null || job.exchange.passing != job) {
            ended(job, broken(job, spoilt));
            return;
        }
        passed(job.exchange);
        figures.failed(job.exchange.type);
        clients.cutShort(job.exchange.client);
    }

    // What a request is about is its address: requests of one address find each other's work at a
    // server.
    private static long key(ClientRequest request) {
        return request.uri().hashCode();
    }

    // The method follows from the class: a keyed request without its key could take effect twice.
    private static boolean fits(ClientRequest request, Idempotency repeat) {
        boolean keyed = request.fields().idempotencyKey() != null;
        return switch (repeat) {
            case IDEMPOTENT ->
                    GET.equals(request.method()) && request.content().bytes().length == 0;
            case KEYED -> !GET.equals(request.method()) && keyed;
            case NON_IDEMPOTENT -> !GET.equals(request.method()) && !keyed;
        };
    }

    private void answer(String id, int status, long retryAfter, Content content) {
        InFlightRequest exchange = exchanges.get(id);
        if (exchange != null && !exchange.over) {
            count(exchange);
            switch (status) {
                case OK -> figures.completed(exchange.type);
                case UNAVAILABLE -> figures.rejected(exchange.type);
                default -> figures.failed(exchange.type);
            }
            over(exchange);
            clients.respond(now, exchange.client, status, retryAfter, content, false);
        }
    }

    private void over(InFlightRequest exchange) {
        exchange.over = true;
        flowing.remove(exchange);
        // What has not begun is not for anybody any more, whether or not the settings allow to
        // cancel.
        List.copyOf(exchange.out).stream().filter(job -> !job.begun).forEach(this::takeBack);
        forgetIfDone(exchange);
    }

    private void forgetIfDone(InFlightRequest exchange) {
        if (exchange.over && exchange.out.isEmpty()) {
            exchanges.remove(exchange.id);
            byTraceId.remove(exchange.request.fields().traceId());
        }
    }

    // ---- Attempts and probes
    // ------------------------------------------------------------------------

    private void send(SendAttempt action) {
        InFlightRequest exchange = exchanges.get(action.id());
        int attempt = exchange == null ? 0 : exchange.attempts++;
        long left = exchange == null ? 0 : exchange.giveUpAt - now;
        long limit = action.timeout() == 0 ? left : Math.min(left, action.timeout());
        if (exchange == null
                || exchange.over
                || limit <= 0
                || !upstreams.knows(action.server())
                || (upstreams.needsConnection(action.server()) && !makeRoom(1))) {
            learnt.add(
                    new AttemptEnded(
                            action.id(),
                            attempt,
                            action.server(),
                            AttemptResult.NOT_SENT,
                            0,
                            exchange == null || exchange.over,
                            LoadReport.NONE));
            return;
        }
        Attempt job = new Attempt(++lastJob, exchange, attempt, action.server(), now, now + limit);
        exchange.out.add(job);
        start(job);
    }

    private void probe(SendProbe action) {
        if (!upstreams.knows(action.server())
                || (upstreams.needsConnection(action.server()) && !makeRoom(1))) {
            learnt.add(new ProbeEnded(action.server(), AttemptResult.NOT_SENT, 0, LoadReport.NONE));
            return;
        }
        // The settings name no time for a probe; what a connection may take is long for so small an
        // answer.
        start(new Attempt(++lastJob, null, 0, action.server(), now, now + settings.connectTimeout()));
    }

    // The one guard before the first byte of anything that goes to a server, whatever it is and
    // however long
    // ago it was chosen: what fails it goes back to the decisions.
    private void begin(Attempt job) {
        // A request that is over has no attempt left that has not begun.
        boolean wanted =
                job.isProbe()
                        || (!list.watch().stale(now)
                                && decide.mayBegin(now, job.exchange.id, job.attempt));
        if (wanted && now < job.dueAt && upstreams.mayCarry(job)) {
            upstreams.begin(now, job);
        } else {
            takeBack(job);
        }
    }

    private void takeBack(Attempt job) {
        upstreams.giveUp(now, job, CloseReason.CANCELLED);
        ended(job, AttemptResult.NOT_SENT);
    }

    private void start(Attempt job) {
        jobs.put(job.number, job);
        effects.accept(new StartTimer(job.dueAt - now, new Timer.AttemptTimeout(job.number)));
        upstreams.start(now, job);
    }

    private void cancel(CancelAttempt action) {
        InFlightRequest exchange = exchanges.get(action.id());
        Optional<Attempt> out =
                exchange == null
                        ? Optional.empty()
                        : exchange.out.stream()
                                .filter(job -> job.attempt == action.attempt())
                                .findFirst();
        out.ifPresent(
                job -> {
                    upstreams.giveUp(now, job, CloseReason.CANCELLED);
                    ended(job, job.written ? AttemptResult.CANCELLED : AttemptResult.NOT_SENT);
                });
    }

    // One connection that is late may come up yet, and tells nothing of its server; of two, and
    // none up, it
    // is told that it can't be reached.
    private void connectionLate(Attempt job) {
        ended(
                job,
                upstreams.severalLate(job.server)
                        ? AttemptResult.CONNECT_FAILED
                        : AttemptResult.NOT_SENT);
    }

    private void due(long number) {
        Attempt job = jobs.get(number);
        // What flows is given as long as it takes, and its time anew when its last byte is written.
        if (job != null && now >= job.dueAt && !flowing(job)) {
            upstreams.giveUp(now, job, CloseReason.TIMED_OUT);
            ended(job, job.written ? AttemptResult.TIMED_OUT : AttemptResult.CONNECT_FAILED);
        }
    }

    private static boolean flowing(Attempt job) {
        return !job.isProbe() && job.exchange.flows && job.begun && !job.written;
    }

    private void carried(Attempt job) {
        if (flowing(job)) {
            learnt.add(new RequestBodyStreaming(job.exchange.id, job.attempt));
        }
    }

    private void written(Attempt job) {
        if (job.isProbe()) {
            return;
        }
        figures.attempted();
        if (job.exchange.flows) {
            long limit = job.dueAt - job.startedAt;
            job.startedAt = now;
            job.dueAt = Math.max(now + 1, Math.min(now + limit, job.exchange.giveUpAt));
            effects.accept(new StartTimer(job.dueAt - now, new Timer.AttemptTimeout(job.number)));
            learnt.add(new RequestBodySent(job.exchange.id, job.attempt));
        }
    }

    // A server begins a request when its last byte has come: before that is written nothing can
    // have run.
    // What cannot be read, or a kept connection that breaks, does not tell that the server died.
    // Taken for
    // one that did and came back, it would be barred and then held to a cold server's budget: on a
    // day of
    // stale connections all servers were. The next attempt's new connection tells.
    private static AttemptResult broken(Attempt job, boolean spoilt) {
        return !job.written
                ? AttemptResult.CONNECT_FAILED
                : spoilt || job.connection.kept ? AttemptResult.ERROR : AttemptResult.RESET;
    }

    private void ended(Attempt job, AttemptResult result) {
        ended(job, result, LoadReport.NONE);
    }

    private void ended(Attempt job, ServerResponse answer) {
        AttemptResult result = AttemptResults.ofResponse(answer.status(), answer.neverRan());
        if (!job.isProbe() && result == AttemptResult.SERVED) {
            answer(job.exchange.id, OK, 0, answer.content());
        }
        ended(job, result, answer.report());
    }

    private void ended(Attempt job, AttemptResult result, LoadReport report) {
        jobs.remove(job.number);
        long elapsed = now - job.startedAt;
        if (job.isProbe()) {
            learnt.add(new ProbeEnded(job.server, result, elapsed, report));
            return;
        }
        InFlightRequest exchange = job.exchange;
        exchange.out.remove(job);
        learnt.add(
                new AttemptEnded(
                        exchange.id,
                        job.attempt,
                        job.server,
                        result,
                        elapsed,
                        exchange.over,
                        report));
        forgetIfDone(exchange);
    }

    // ---- Sockets
    // ------------------------------------------------------------------------------------

    // Two processes of a node have its descriptors together.
    private void limitSockets(int most) {
        descriptors = most;
        int free = most - RESERVE - (config.admin().isEmpty() ? 0 : DOOR_RESERVE);
        // What the other one does not use, less what it may take before it is looked at again.
        int beside = Math.max(free / 2, (int) (free * (1 - GROWTH_PART)) - othersConnections);
        sockets = Math.max(1, accompanied ? beside : free);
        effects.accept(new AcceptUpTo(mostClients() + ACCEPTED_AT_ONCE));
    }

    private int mostClients() {
        return Math.max(1, (int) (sockets * CLIENT_PART));
    }

    private void makeRoomForClients() {
        boolean closed = true;
        while (clients.open() > mostClients() && closed) {
            closed = clients.closeOneIdle(now, true);
        }
        makeRoom(0);
    }

    // Short of sockets, idle connections go before anything is refused. DownstreamConnections' first: a new
    // connection to
    // a server costs it work and the request on it time.
    private boolean makeRoom(int wanted) {
        while (clients.open() + upstreams.open() + wanted > sockets) {
            if (!clients.closeOneIdle(now, false)
                    && !upstreams.closeOneIdle()
                    && !clients.closeOneIdle(now, true)) {
                return false;
            }
        }
        return true;
    }

    // ---- List and settings
    // --------------------------------------------------------------------------

    // What follows from what a hand changes happens at once.
    private void changeByHand(EndpointList changes) {
        list.changedByHand(changes);
        decideAll();
    }

    // Once the settings come from the log of changes, those of the file do not count any more.
    private void reconfigure(NodeConfig next) {
        limitSockets(next.maxDescriptors());
        list.watch().move(now, next.discovery());
        if (version.isEmpty() && !next.settings().equals(settings)) {
            list.takeOver(now, takeOver(next.settings()));
        }
    }

    private void changeState(Event.StateChanged change) {
        version = Optional.of(change.version());
        figures.reached(change.version());
        list.watch().end();
        // Settings that all nodes share do not tell which of them this one is.
        int node = config.settings().decisions().nodeIndex();
        list.takeOver(
                now,
                change.endpoints(),
                change.settings().map(next -> takeOver(next.forNode(node))));
    }

    // From here on: what was taken before has its class, its time and its limits with it.
    private NodeSettings takeOver(NodeSettings next) {
        settings = next;
        classes = new RequestClasses(next.decisions().requestClasses());
        figures.takeOver(next.decisions().requestClasses());
        upstreams.limit(next.connectTimeout(), next.serverIdleTimeout());
        return next;
    }

    /** The settings in force. */
    public NodeSettings settings() {
        return settings;
    }

    /**
     * The version of what all nodes share that is in force here; none unless it comes from the log.
     */
    public Optional<LogPosition> version() {
        return version;
    }

    // ---- Time and the end
    // ---------------------------------------------------------------------------

    private void timerFired(Timer timer) {
        if (timer instanceof Timer.Decision wake) {
            learnt.add(new TimerFired(wake.token()));
        } else if (timer instanceof Timer.AttemptTimeout due) {
            due(due.attempt());
        } else if (timer instanceof Timer.ConnectTimeout due) {
            upstreams.connectDue(now, due.connection()).ifPresent(this::connectionLate);
        } else if (timer instanceof Timer.ResponseBufferTimeout due) {
            flowDue(due.attempt());
        } else if (timer instanceof Timer.PollTimeout due) {
            list.watch().due(now, due.poll());
        } else if (timer instanceof Timer.NextPoll next) {
            list.watch().resume(now, next.afterPoll());
        } else if (timer instanceof Timer.QuietPeriodOver) {
            frontQuiet = true;
            clients.closeIdle(CloseReason.STOPPING);
        } else {
            upstreams.sweep(now);
            clients.sweep(now);
            if (frontQuiet) {
                // A client that connects this late and sends nothing would keep the node from
                // ending.
                clients.closeIdle(CloseReason.STOPPING);
            }
            effects.accept(new StartTimer(SWEEP_EVERY, timer));
        }
    }

    private void stop(boolean succeeded) {
        if (!stopping) {
            stopping = true;
            clients.stop();
            if (succeeded) {
                // No connection comes any more. Those that are open end with their next answer:
                // closed while
                // they are idle, some would be closed in the face of a request.
                effects.accept(new StopAccepting());
                long longest = classes.longestDeadline();
                lastAnswer = now + longest + ANSWERED_AFTER;
                effects.accept(
                        new StartTimer(
                                longest + ANSWERED_AFTER - Math.min(LAST_REQUEST, longest),
                                new Timer.QuietPeriodOver()));
            } else {
                effects.accept(new StartTimer(FRONT_QUIET, new Timer.QuietPeriodOver()));
            }
        }
    }

    private void exitIfDone() {
        if (frontQuiet && !exiting && clients.open() == 0) {
            exiting = true;
            effects.accept(new Exit());
        }
    }

    // ---- The decision module
    // ------------------------------------------------------------------------

    private void decideAll() {
        while (!learnt.isEmpty()) {
            decide.handle(now, learnt.poll(), decided::add);
            while (!decided.isEmpty()) {
                carryOut(decided.poll());
            }
        }
    }

    private void carryOut(DecisionAction action) {
        if (action instanceof SendAttempt a) {
            send(a);
        } else if (action instanceof SendProbe a) {
            probe(a);
        } else if (action instanceof SetTimer a) {
            effects.accept(new StartTimer(a.delay(), new Timer.Decision(a.token())));
        } else if (action instanceof CancelAttempt a) {
            cancel(a);
        } else if (action instanceof RejectRequest a) {
            answer(a.id(), UNAVAILABLE, a.retryAfter(), Content.NONE);
        } else if (action instanceof FailRequest a) {
            answer(a.id(), BAD_GATEWAY, 0, Content.NONE);
        } else if (action instanceof WatchEndpoints) {
            list.watch().begin(now);
        }
    }
}
