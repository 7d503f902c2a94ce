// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.stream.IntStream;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionAction.CancelAttempt;
import ottergauge.decision.api.DecisionAction.FailRequest;
import ottergauge.decision.api.DecisionAction.RejectRequest;
import ottergauge.decision.api.DecisionAction.SendAttempt;
import ottergauge.decision.api.DecisionAction.SendProbe;
import ottergauge.decision.api.DecisionAction.SetTimer;
import ottergauge.decision.api.DecisionAction.WatchEndpoints;
import ottergauge.decision.api.DecisionActionSink;
import ottergauge.decision.api.DecisionEvent;
import ottergauge.decision.api.DecisionEvent.AttemptEnded;
import ottergauge.decision.api.DecisionEvent.ClientDisconnected;
import ottergauge.decision.api.DecisionEvent.DiscoveryFailed;
import ottergauge.decision.api.DecisionEvent.EndpointUpdate;
import ottergauge.decision.api.DecisionEvent.ProbeEnded;
import ottergauge.decision.api.DecisionEvent.RequestArrived;
import ottergauge.decision.api.DecisionEvent.RequestBodySent;
import ottergauge.decision.api.DecisionEvent.RequestBodyStreaming;
import ottergauge.decision.api.DecisionEvent.ResponseStarted;
import ottergauge.decision.api.DecisionEvent.SettingsChanged;
import ottergauge.decision.api.DecisionEvent.TimerFired;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.api.DecisionView;
import ottergauge.decision.api.DeduplicationScope;
import ottergauge.decision.api.DiscoveryMode;
import ottergauge.decision.api.Endpoint;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.EndpointStatus;
import ottergauge.decision.api.Idempotency;
import ottergauge.decision.api.LoadReport;
import ottergauge.decision.api.RequestClass;
import ottergauge.decision.api.RequestLimits;
import ottergauge.decision.api.UpdateScope;
import ottergauge.decision.limits.ReportFreshness;
import ottergauge.decision.limits.RetryBudget;
import ottergauge.decision.limits.CapacityEstimate;
import ottergauge.decision.limits.ConcurrencyLimit;
import ottergauge.decision.ring.ConsistentHashRing;
import ottergauge.decision.index.ClassIndex;

/**
 * Every decision of a node and nothing else. Its interface (settings, events, actions) is
 * DecisionApi.java. An instant and an event go in, actions come out; the same in, the same out. The
 * ordinary path is Per-Function Auto Weighted Round-Robin; docs/design.md lists the departures and
 * says when each acts.
 */
public final class DecisionEngine implements DecisionView {

    // ---- The design's starting values
    // --------------------------------------------------------------
    private static final long WINDOW = 5_000_000;
    private static final int WEIGHT_TOTAL = 1000;
    // A node's first window: until it ends all servers weigh the same, and the slow ones are
    // overrun.
    private static final long FIRST_WINDOW = WINDOW / 5;
    // The class table's bound: classes past it borrow the shared row.
    private static final int MOST_ROWS = 64;
    // A row's answers for each server from which on its means say more than the shared row's.
    private static final int ROW_ANSWERS = 3;
    // A server is skipped when its own in-flight count is over this multiple of the mean, plus one.
    private static final double SKIP_MULTIPLE = 2;

    // ---- Figures of the departures, each with its reason
    // --------------------------------------------
    // The way to the client and back, which the node cannot time: an answer must leave this early.
    private static final long CLIENT_TRIP = 2_000;
    // The weight of a new sample in the running means: about the last ten count.
    private static final double BLEND = 0.1;
    // The most of the result that probing for load may cost: well under what a bad choice costs.
    private static final double PROBE_SPEND = 0.06;
    // The most of the result that open connections may cost: they also take capacity of every
    // server.
    private static final double CONNECTION_SPEND = 0.005;
    // A node's servers, at the least: with a fifth of the fleet silent, fewer would often all be
    // silent.
    private static final int LEAST_SUBSET = 4;
    // And where connections are free: the best of so many is hardly worse than the best of all.
    private static final int FREE_SUBSET = 32;
    // Of these a node has a dozen, or so many that each server is in a dozen subsets, if more: with
    // all
    // of them more nodes see and take the same free core, and hear of each server too seldom.
    private static final int DOZEN = 12;
    // A node has this multiple of what it has out in servers, so that most sends find an idle
    // connection.
    private static final int SUBSET_SPARE = 2;
    // A report is fresh for this part of a service time: the chance that the load changed is as
    // small.
    private static final double FRESH_PART = 0.08;
    // A server seen busy stays so for this part of the work it was seen to hold.
    private static final double BUSY_PART = 0.3;
    // A report is forgotten over so many service times: as seldom do others send to a server left
    // idle.
    private static final double FORGET_SERVICES = 10;
    // So much do others do what a node does, and for so much counts what leaves: others mostly fill
    // it up.
    private static final double OTHERS_ALIKE = 0.4;
    private static final double HAVE_LEFT = 0.25;
    // Servers believed to hold so much more than the least are passed over: less than that no
    // report tells.
    private static final double HEARD_MARGIN = 0.1;
    // An answer that took longer than this part of its aim tells of a queue that leaves no time to
    // spare.
    private static final double QUEUED_PART = 0.5;
    // A server is worth a send if what it holds, and this request, fit in this part of the time
    // left.
    private static final double FIT_PART = 0.75;
    // And in this part where it is not cut off at its aim, but goes on for late worth at the cost
    // of others.
    private static final double LATE_FIT_PART = 0.5;
    // After this part of its aim a request settles for a server that it fits at: searching takes
    // time.
    private static final double SEARCH_PART = 0.1;
    // An odd number with its bits well spread, the golden ratio's, for mixing keys with ids.
    private static final long MIX = 0x9E3779B97F4A7C15L;
    // Nothing is sent where this multiple of the root of its room waits: the square-root rule of
    // staffing.
    private static final double MOST_WAITING = 0.6;
    // Less than this part of a service time left to the aim: the request can no longer make it.
    private static final double DOOMED_PART = 0.6;
    // A sounded server that has not answered for this multiple of the usual trip is mute.
    private static final double MUTE_TRIPS = 4;
    // The trip to a zone that no probe has come back from.
    private static final double FIRST_TRIP = 1_000;
    // Silence is proven when this many answers should have come and none did: e^-5 is under 1 in
    // 100.
    private static final double SILENT_ANSWERS = 5;
    // One attempt proves no more than this: a costly request also makes a server look silent.
    private static final double SILENT_EACH = 3;
    // An attempt out for this multiple of what it was expected to take is not waited for: few take
    // so long.
    private static final double OVERDUE = 6;
    // But only while more than this part of the attempts goes unanswered: else it is a long
    // request.
    private static final double LOST_PART = 0.15;
    // Up to this part of the cores busy hardly a request waits for one.
    private static final double SPARE = 0.6;
    // A reported busy part is a mean over a second: of a fleet that has just woken it tells too
    // little.
    private static final long WAKING = 2_000_000;
    // A rate is a mean over some time, and says as much as so many counts at an instant.
    private static final double RATE_SAYS = 4;
    // Departure "errors": so many in a row bar a server. One that fails at once looks idle and
    // draws sends.
    private static final int ERRORS_IN_A_ROW = 2;
    // Where loads are heard a bar for an error begins so far up: a trial costs a request.
    private static final int HEARD_ERROR = 2;
    // Bars double from the first to the last.
    private static final long FIRST_BAR = 100_000;
    private static final int MOST_STRIKES = 6;
    // Of the requests given up on, the part that comes again: counted higher, refusals breed
    // refusals.
    private static final double ASKS_AGAIN = 0.5;
    // The part of the cold budget that is used: the guide is an estimate.
    private static final double COLD_CAUTION = 0.6;
    // What all nodes together may send a cold server in a span, at the least: with none it is never
    // warm.
    private static final double LEAST_SENDS = 2;
    // A send to a cold server is counted when it is chosen: it may begin in this part of the span
    // from then.
    private static final double COLD_WAIT_PART = 0.25;
    // Before it has answered, a cold server is hoped to do this multiple of the least it can do by
    // now.
    private static final double COLD_HOPE = 1.5;
    private static final long LOOK_EVERY = 25_000;
    private static final long FIRST_ASK_WITHIN = 200_000;
    private static final long ASK_AGAIN = 500_000;
    private static final int MOST_ASK_DOUBLINGS = 3;
    // Steps of the golden ratio spread a node's points over the ring, however many they are.
    private static final double GOLDEN = 0.6180339887498949;
    private static final int SUBSET_TRIES = 4;
    private static final double SECOND = 1e6;
    // How seldom chance may take a live server for a dead one, and over how many attempts it is
    // judged.
    private static final double CHANCE = 0.005;
    private static final double UNREACHED_BLEND = 0.02;
    private static final long NEVER = Long.MIN_VALUE / 4;

    // A server in one row of the rotation: its answers, of this window and as a mean, and its
    // turns.
    private static final class RowFigures {
        double sum;
        int count;
        double mean;
        int answers;
        int weight;
        double current;

        RowFigures(double current) {
            this.current = current;
        }

        void sample(long elapsed) {
            sum += elapsed;
            count++;
        }

        void endWindow() {
            // Without samples a mean outlives a window for each doubling of the answers in it.
            answers = count > 0 ? count : answers / 2;
            mean = count > 0 ? sum / count : answers > 0 ? mean : 0;
            sum = 0;
            count = 0;
        }

        double meanOr(double others) {
            return mean > 0 ? mean : others;
        }
    }

    // A server, as this node knows it.
    private static final class Server {
        final long id;
        Endpoint entry;
        EndpointState state;
        final ArrayList<Attempt> out = new ArrayList<>();
        // Its rows in the rotation, once it was in the subset, and how many windows have ended for
        // them.
        List<RowFigures> rows = List.of();
        long windows;
        boolean candidate;
        double load;
        int sentSince;
        final CapacityEstimate room = new CapacityEstimate();
        long reportedAt = NEVER;
        LoadReport report = LoadReport.NONE;
        long probedAt = NEVER;
        boolean probing;
        double slowness;
        double due;
        long answeredAt = NEVER;
        int strikes;
        int misses;
        int errors;
        long barredUntil = NEVER;
        boolean lost;
        long coldSince = NEVER;
        long coldDrawnAt = NEVER;
        double coldDraw;
        final ConcurrencyLimit pace = new ConcurrencyLimit();
        final ArrayDeque<Long> coldSends = new ArrayDeque<>(0);

        Server(Endpoint entry) {
            id = entry.id();
            this.entry = entry;
        }

        // Ends the windows that have ended since it was looked at last: no window's end visits all
        // servers.
        void endWindows(long ended) {
            // Past so many even the largest count is halved to none.
            for (windows = Math.max(windows, ended - Integer.SIZE); windows < ended; windows++) {
                rows.forEach(RowFigures::endWindow);
            }
        }
    }

    // A request that this node holds or has sent, with the class and the limits that it was taken
    // with.
    private static final class Request {
        final String id;
        final long number;
        final RequestClass type;
        final RequestLimits limits;
        // The end of its worth, and of what is worked for now: the aim or, once that is past, the
        // same.
        final long arrivedAt;
        final long aimAt;
        final long usefulUntil;
        long end;
        double worth;
        final ArrayList<Attempt> out = new ArrayList<>(1);
        int attempts;
        boolean met;
        Attempt firstThatMayHaveRun;
        boolean repeat;
        boolean started;
        boolean once;
        boolean over;
        boolean held;
        Server sounding;
        int probes;
        long probeAt = NEVER;
        Server avoid;
        // The server that a key is brought to.
        Server home;

        Request(
                RequestArrived e,
                long number,
                DecisionSettings taken,
                long arrivedAt,
                long aimAt,
                long usefulUntil) {
            id = e.id();
            type = taken.requestClasses().get(e.requestClass());
            limits = taken.limits();
            this.number = number;
            this.arrivedAt = arrivedAt;
            this.aimAt = aimAt;
            this.usefulUntil = usefulUntil;
            end = aimAt;
            worth = type.priorityWeight();
        }
    }

    private static final Comparator<Request> BY_END =
            Comparator.comparingLong((Request q) -> q.end).thenComparingLong(q -> q.number);
    private static final Comparator<Request> BY_WORTH =
            Comparator.comparingDouble((Request q) -> -q.worth).thenComparing(BY_END);

    private static final class Attempt {
        final Request request;
        final int number;
        final Server server;
        final double loadBefore;
        // NEVER while a body still passes to the server.
        long sentAt;

        Attempt(Request request, int number, Server server, long sentAt, double loadBefore) {
            this.request = request;
            this.number = number;
            this.server = server;
            this.sentAt = sentAt;
            this.loadBefore = loadBefore;
        }
    }

    private DecisionSettings settings;
    private final SplittableRandom random;
    private boolean sounds;
    private final ReportFreshness freshness = new ReportFreshness();
    private int mostProbes;
    private boolean hears;
    private double meanLoad;
    private final CapacityEstimate fleet = new CapacityEstimate();
    // All listed servers, and nothing else holds them all: what is looked at is counted there.
    final ConsistentHashRing<Server> ring = new ConsistentHashRing<>();
    // Of the listed servers those that are barred, the first to come back first.
    private final TreeSet<Server> barred =
            new TreeSet<>(
                    Comparator.comparingLong((Server s) -> s.barredUntil)
                            .thenComparingLong(s -> s.id));
    private final ArrayList<Server> subset = new ArrayList<>();
    private final ArrayList<Attempt> out = new ArrayList<>();
    private double outTime;
    private double outTimeBefore;
    private double meanOut;
    private final Map<String, Request> requests = new HashMap<>();
    private final TreeSet<Request> held = new TreeSet<>(BY_WORTH);
    private final TreeSet<Request> heldByEnd = new TreeSet<>(BY_END);
    private final RetryBudget retries = new RetryBudget(0);
    private double repeatsDue;
    private final ClassIndex rows = new ClassIndex(MOST_ROWS);
    private boolean[] rowLive;
    private final Map<String, Long> longestTry = new HashMap<>();
    private double unreached;
    private double unanswered;
    private long served;
    private double servedRate;
    // The usual time from one request to the next, and when the last one came.
    private double askedEvery;
    private long askedAt = NEVER;
    private double pace;
    private long sentAt;
    private double service;
    // What a request takes at a server with cores to spare.
    private double spareTime;
    private final Map<Integer, Double> trips = new HashMap<>();
    private long requestNumber;
    private long windowEnd = NEVER;
    private long windowsEnded;
    private long wokenAt = NEVER;
    private long lookAt = NEVER;
    private long askAt = Long.MAX_VALUE;
    private int asksFailed;
    private long timerAt = Long.MAX_VALUE;
    private long now;
    private boolean news;
    private DecisionActionSink sink;

    public DecisionEngine(DecisionSettings settings, long seed) {
        random = new SplittableRandom(seed);
        takeOver(settings);
    }

    /** Takes one event; the actions are to happen at the same instant, in their order. */
    public void handle(long at, DecisionEvent event, DecisionActionSink out) {
        if (windowEnd == NEVER) {
            windowEnd = at + FIRST_WINDOW;
            wokenAt = at + WAKING;
            now = at;
            if (settings.discoveryMode() == DiscoveryMode.POLL) {
                askAt = at + random.nextLong(FIRST_ASK_WITHIN);
            }
        }
        outTime += this.out.size() * (double) (at - now);
        now = at;
        sink = out;
        news =
                !(event instanceof RequestArrived
                        || event instanceof TimerFired
                        || event instanceof ProbeEnded);
        timerAt = now >= timerAt ? Long.MAX_VALUE : timerAt;
        if (now >= windowEnd) {
            endWindow();
        }
        if (event instanceof RequestArrived e) {
            arrive(e);
        } else if (event instanceof AttemptEnded e) {
            attemptEnded(e);
        } else if (event instanceof ProbeEnded e) {
            probeEnded(e);
        } else if (event instanceof EndpointUpdate e) {
            follow(e);
        } else if (event instanceof SettingsChanged e) {
            takeOver(e.settings());
            follow(e.endpoints());
        } else if (event instanceof DiscoveryFailed) {
            askAgain();
        } else if (event instanceof ClientDisconnected e) {
            clientGone(e);
        } else if (event instanceof ResponseStarted e) {
            answerStarted(e);
        } else if (event instanceof RequestBodyStreaming e) {
            bodyPasses(e.id(), e.attempt(), true);
        } else if (event instanceof RequestBodySent e) {
            bodyPasses(e.id(), e.attempt(), false);
        } else if (!(event instanceof TimerFired)) {
            throw new IllegalArgumentException("unknown event " + event);
        }
        look();
        expire();
        serveHeld();
        setTimer();
    }

    @Override
    public EndpointStatus endpointStatus(long at, long server) {
        Server s = ring.get(server);
        return s == null || s.state != EndpointState.UP
                ? EndpointStatus.DRAINING
                : at < s.barredUntil
                        ? EndpointStatus.EJECTED
                        : mute(s) ? EndpointStatus.UNRESPONSIVE : EndpointStatus.ACTIVE;
    }

    @Override
    public boolean mayBegin(long at, String id, int number) {
        Request q = requests.get(id);
        Attempt a = q == null ? null : attempt(q, number);
        // What waits together would come to a cold server together, out of the spans it was counted
        // for.
        return a != null
                && (warmth(a.server, at) >= 1
                        || at - a.sentAt <= COLD_WAIT_PART * settings.rules().overloadWindow());
    }

    // ==== Requests: one final answer each
    // ============================================================

    private void arrive(RequestArrived e) {
        askedEvery =
                askedAt == NEVER
                        ? 0
                        : blend(askedEvery, Math.min((double) (now - askedAt), SECOND));
        askedAt = now;
        RequestClass type = settings.requestClasses().get(e.requestClass());
        boolean again = isRepeat(e, type);
        long began = again ? Math.min(now, e.giveUpAt() - type.deadline()) : now;
        long aimAt = began + type.latencyObjective() - CLIENT_TRIP;
        long usefulUntil =
                Math.max(
                        now,
                        type.lateValueRatio() > 0 ? e.giveUpAt() : Math.min(aimAt, e.giveUpAt()));
        Request q =
                new Request(
                        e,
                        requestNumber++,
                        settings,
                        now,
                        Math.min(Math.max(now, aimAt), usefulUntil),
                        usefulUntil);
        q.repeat = again;
        q.home = settings.cacheAffinity() && e.affinityKey() != 0 ? homeOf(e.affinityKey()) : null;
        requests.put(q.id, q);
        if (hopeless(q)) {
            giveUp(q);
        } else {
            hold(q);
        }
    }

    // Departure "prompt refusal": by Little's law the requests ahead, at the pace of the sends from
    // a
    // backlog, take longer than this one can wait. Held all the same, it would wait long to be
    // refused.
    private boolean hopeless(Request q) {
        return !sounds
                && pace > 0
                && !held.isEmpty()
                && held.headSet(q).size() * pace > q.end - needed(q) - now;
    }

    // Departure "repeats": a client's repeat is judged by the aim of its first try, which began one
    // deadline
    // before the repeat's end. Taken for a new request, it draws work for an answer that is worth
    // nothing.
    // Not marked, one has less time left and follows one given up on: by time alone, all the
    // impatient are.
    private boolean isRepeat(RequestArrived e, RequestClass type) {
        if (settings.clientRetriesMarked()) {
            return e.clientRetry();
        }
        long left = e.giveUpAt() - now;
        long longest = longestTry.merge(type.name(), left, Math::max);
        boolean repeat = repeatsDue >= 1 && left < longest - settings.rules().responseTolerance();
        repeatsDue -= repeat ? 1 : 0;
        return repeat;
    }

    private void hold(Request q) {
        q.held = true;
        held.add(q);
        heldByEnd.add(q);
    }

    private void release(Request q) {
        if (q.held) {
            q.held = false;
            held.remove(q);
            heldByEnd.remove(q);
        }
    }

    // Gives the final answer: a refusal where the rule lets it say that a retry is harmless.
    private void giveUp(Request q) {
        long advice = q.limits.retryAfterAllowed() ? q.limits.maxRetryAfter() : 0;
        sink.accept(mayRefuse(q) ? new RejectRequest(q.id, advice) : new FailRequest(q.id));
        leave(q);
    }

    private void leave(Request q) {
        repeatsDue += q.repeat ? ASKS_AGAIN / 2 : ASKS_AGAIN;
        end(q);
    }

    // Nothing is sent for a request any more, and what is out for it is not waited for.
    private void end(Request q) {
        release(q);
        q.over = true;
        if (q.limits.cancellationAllowed()) {
            q.out.forEach(a -> sink.accept(new CancelAttempt(q.id, a.number)));
        }
        forget(q);
    }

    private void forget(Request q) {
        if (q.over && q.out.isEmpty()) {
            requests.remove(q.id);
        }
    }

    private void clientGone(ClientDisconnected e) {
        Request q = requests.get(e.id());
        if (q != null && !q.over) {
            leave(q);
        }
    }

    private void answerStarted(ResponseStarted e) {
        Request q = requests.get(e.id());
        if (q != null) {
            release(q);
            q.started = true;
        }
    }

    // Departure "passing bodies": what is passed on as it comes is sent once, and until its last
    // byte the
    // server has nothing to do with it. Counted as work, a few slow clients made all servers look
    // full.
    private void bodyPasses(String id, int number, boolean passing) {
        Request q = requests.get(id);
        Attempt a = q == null ? null : attempt(q, number);
        if (a == null || passing == (a.sentAt == NEVER)) {
            return;
        }
        q.once = true;
        if (passing) {
            unload(a);
        } else {
            load(a);
        }
        a.sentAt = passing ? NEVER : now;
    }

    private static Attempt attempt(Request q, int number) {
        return q.out.stream().filter(each -> each.number == number).findFirst().orElse(null);
    }

    private void load(Attempt a) {
        a.server.out.add(a);
        out.add(a);
        a.server.load += 1;
        a.server.sentSince++;
    }

    private void unload(Attempt a) {
        a.server.out.remove(a);
        out.remove(a);
        a.server.load = Math.max(0, a.server.load - 1);
    }

    // ==== No effect twice
    // ============================================================================

    private static boolean untouched(Request q) {
        return q.out.isEmpty() && q.firstThatMayHaveRun == null;
    }

    private static boolean mayRefuse(Request q) {
        return q.type.idempotency() == Idempotency.IDEMPOTENT
                || untouched(q)
                || (q.type.idempotency() == Idempotency.KEYED
                        && q.type.deduplicationScope() == DeduplicationScope.FLEET);
    }

    // Whether the rules let this server have the request's next attempt; no other attempt of it is
    // out.
    private boolean maySend(Request q, Server s) {
        Attempt first = q.firstThatMayHaveRun;
        boolean harmless =
                q.type.idempotency() == Idempotency.IDEMPOTENT
                        || untouched(q)
                        || (q.type.idempotency() == Idempotency.KEYED
                                && sameGroup(q.type.deduplicationScope(), first.server, s)
                                && now < first.sentAt + q.type.deduplicationWindow());
        return harmless && !q.once && q.attempts < q.limits.maxAttempts();
    }

    private static boolean sameGroup(DeduplicationScope group, Server a, Server b) {
        return switch (group) {
            case FLEET -> true;
            case ZONE -> a.entry.zone() == b.entry.zone();
            case CELL -> a.entry.cell() == b.entry.cell();
        };
    }

    // ==== The rotation: Per-Function Auto Weighted Round-Robin
    // =======================================

    private int rowOf(Request q) {
        return rows.of(q.type.name());
    }

    private int weightsFor(Request q) {
        return rowLive[rowOf(q)] ? rowOf(q) : rows.shared();
    }

    // Of a server that has left nothing is kept.
    private void sample(Server s, int row, long elapsed) {
        if (s.state != EndpointState.REMOVED) {
            s.endWindows(windowsEnded);
            IntStream.of(row, rows.shared())
                    .distinct()
                    .forEach(each -> s.rows.get(each).sample(elapsed));
        }
    }

    private void layRows(Server s) {
        s.rows = rows.lay(s.rows, () -> new RowFigures(random.nextDouble() * WEIGHT_TOTAL));
    }

    private void endWindow() {
        servedRate = served / (double) WINDOW / Math.max(1, Math.min(ring.count(), subsetSize()));
        served = 0;
        meanOut = (outTime - outTimeBefore) / WINDOW;
        outTimeBefore = outTime;
        windowEnd += ((now - windowEnd) / WINDOW + 1) * WINDOW;
        repeatsDue /= 2;
        windowsEnded++;
        chooseSubset();
    }

    // Departure "subset": a node rotates over the servers at its points of a ring with arcs by
    // size, an even
    // part each. All nodes at all servers filled their tables, learnt nothing and used up the CPU.
    private void chooseSubset() {
        int size = subsetSize();
        subset.clear();
        boolean all = size >= ring.count();
        List<Server> servers = all ? ring.first(size) : List.of();
        for (int k = 0;
                subset.size() < size && k < (all ? servers.size() : SUBSET_TRIES * size);
                k++) {
            double point = ((settings.nodeIndex() + 0.5) / settings.nodeCount() + k * GOLDEN) % 1;
            Server s = all ? servers.get(k) : ring.at(point);
            if (s.state == EndpointState.UP
                    && (all || now >= s.barredUntil)
                    && !subset.contains(s)) {
                s.endWindows(windowsEnded);
                if (s.rows.isEmpty()) {
                    layRows(s);
                }
                subset.add(s);
            }
        }
        for (int row = 0; row <= rows.shared(); row++) {
            weigh(row);
        }
    }

    private int subsetSize() {
        double perServer = settings.nodeCount() / (100.0 * Math.max(1, ring.count()));
        double price = settings.costs().connection() * perServer;
        double paid = price > 0 ? Math.min(FREE_SUBSET, CONNECTION_SPEND / price) : FREE_SUBSET;
        paid = Math.min(paid, DOZEN * Math.max(1, ring.count() / (double) settings.nodeCount()));
        double each = hears && fleet.known() ? fleet.size(1) : 1;
        double wanted = Math.max(out.size(), SUBSET_SPARE * meanOut) / each;
        return (int) Math.max(LEAST_SUBSET, Math.max(paid, wanted));
    }

    // Weights of a row: the floor of a server's part of the inverse means, times the total, at
    // least one.
    private void weigh(int row) {
        double known = 0;
        int samples = 0;
        int answers = subset.stream().mapToInt(s -> s.rows.get(row).answers).sum();
        for (Server s : subset) {
            known += s.rows.get(row).mean;
            samples += s.rows.get(row).mean > 0 ? 1 : 0;
        }
        // A row of a few answers is chance: until it has some of each server, the shared one is
        // borrowed.
        rowLive[row] = answers >= ROW_ANSWERS * subset.size();
        double others = samples > 0 ? known / samples : 1;
        double raw = 0;
        for (Server s : subset) {
            raw += 1 / s.rows.get(row).meanOr(others);
        }
        for (Server s : subset) {
            RowFigures figures = s.rows.get(row);
            figures.weight = Math.max(1, (int) (1 / figures.meanOr(others) / raw * WEIGHT_TOTAL));
        }
    }

    // The next server of the rotation for a request, or null if none has room. The turn is not
    // taken yet.
    private Server next(Request q) {
        double mean = out.size() / (double) Math.max(1, subset.size());
        double least = Double.MAX_VALUE;
        boolean other = false;
        boolean fitting = false;
        for (Server s : subset) {
            s.candidate =
                    open(s)
                            && maySend(q, s)
                            && s.out.size() <= SKIP_MULTIPLE * mean + 1
                            && fits(q, s)
                            && (!sounds || known(s) || maySound(q));
            other |= s.candidate && s != q.avoid;
            fitting |= s.candidate && known(s);
        }
        boolean settle =
                sounds && fitting && now - q.arrivedAt > SEARCH_PART * q.type.latencyObjective();
        for (Server s : subset) {
            s.candidate &= (s != q.avoid || !other) && (!settle || known(s));
            if (s.candidate) {
                least = Math.min(least, Math.max(0, behind(s)));
            }
        }
        int row = weightsFor(q);
        Server best = null;
        double margin = hears ? HEARD_MARGIN : 1;
        for (Server s : subset) {
            // Departure "reported skip": a server known to hold more than the least is skipped.
            s.candidate &= (!sounds && !hears) || behind(s) < least + margin;
            if (s.candidate && (best == null || turn(s, row, q) > turn(best, row, q))) {
                best = s;
            }
        }
        return best;
    }

    // A cold server goes first when its chance has come: parts of a budget kept by many are soon
    // idle.
    private double turn(Server s, int row, Request q) {
        boolean chance = sounds && s.coldDrawnAt != NEVER && warmth(s, now) < 1;
        // A key's server may go a turn early, no more: the rotation gives each the turns of its
        // weight.
        return s.rows.get(row).current
                + s.rows.get(row).weight
                + (chance || s == q.home ? WEIGHT_TOTAL : 0);
    }

    // Departure "keys": the server of the subset that a key is brought to, by the largest of their
    // hashes
    // with it: nodes that share servers agree without a word, and a change of the list moves few
    // keys.
    private Server homeOf(long key) {
        return subset.stream().max(Comparator.comparingLong(s -> mixed(key, s.id))).orElse(null);
    }

    private static long mixed(long key, long id) {
        long mixed = (key ^ id * MIX) * MIX;
        return (mixed ^ mixed >>> 32) * MIX;
    }

    private void takeTurn(Server chosen, int row) {
        int total = 0;
        for (Server s : subset) {
            if (s.candidate) {
                s.rows.get(row).current += s.rows.get(row).weight;
                total += s.rows.get(row).weight;
            }
        }
        chosen.rows.get(row).current -= total;
    }

    // ==== Room: what a server can take within the aim
    // ================================================

    private boolean open(Server s) {
        return s.state == EndpointState.UP
                && now >= s.barredUntil
                && !mute(s)
                && (s.strikes == 0 || s.out.isEmpty())
                && (sounds || hears || s.pace.allows(now, s.out.size(), service))
                && coldBudgetLeft(s);
    }

    // The fleet's service time by how much slower than the fleet this server is. A mean of its own
    // sees too
    // few answers to follow when everything becomes slow, and work goes on being sent that will be
    // late.
    private double serviceOf(Server s) {
        // Departure "cold server": its own answers tell its speed. Held to the least that it can
        // do, it stood
        // idle for most of its warm-up while a deploy left the others with too much.
        double warmth = warmth(s, now);
        if (warmth >= 1) {
            return service * (s.slowness > 0 ? s.slowness : 1);
        }
        double hoped = 1 / Math.min(1, COLD_HOPE * warmth);
        return service * (s.slowness > 0 ? Math.min(s.slowness, 1 / warmth) : hoped);
    }

    // Whether the request can be expected to end at this server while its answer still has worth.
    private boolean fits(Request q, Server s) {
        // With nothing out nothing would be heard any more, and a fleet once full be taken for full
        // for ever.
        if ((!sounds && !hears)
                || service == 0
                || (hears && out.isEmpty() && now - sentAt >= service)) {
            return true;
        }
        double crowd = crowd(s);
        // What is late has long to wait: let behind others, it fills the servers that others need
        // in time.
        double room = room(s);
        if (crowd >= room + (q.end > q.aimAt ? 0 : MOST_WAITING * Math.sqrt(room))) {
            return false;
        }
        boolean runsOn = q.usefulUntil > q.aimAt;
        return turns(s, crowd) * serviceOf(s) <= (runsOn ? LATE_FIT_PART : FIT_PART) * (q.end - now)
                || (crowd < room
                        && warmth(s, now) >= 1
                        && (!runsOn || out.isEmpty() || serviceOf(s) <= q.end - now));
    }

    // How many requests of others one would wait for. What was heard is old, and others send
    // meanwhile: there
    // it is by how much of its room a server is fuller than the root of it leaves free for chance.
    private double behind(Server s) {
        double room = room(s);
        return hears ? crowd(s) / room - 1 + 1 / Math.sqrt(room) : crowd(s) + 1 - room;
    }

    private double room(Server s) {
        return fleet.known() ? s.room.size(fleet.size(1)) : 1;
    }

    // The service times until a request ends that comes to a server which holds so many.
    private double turns(Server s, double load) {
        return Math.max(1, (load + 1) / room(s));
    }

    private double crowd(Server s) {
        return hears
                ? Math.max(s.out.size(), believed(s))
                : sounds && known(s) ? Math.max(s.load, s.out.size()) : s.out.size();
    }

    // Departure "hearsay": where probes are too dear, what an answer said of its server is believed
    // less and
    // less, until the server stands at the mean of all. Meanwhile some of it has left, and the
    // others who
    // share the server have sent: in part as this node did. Uncounted, they all filled the emptiest
    // at once.
    private double believed(Server s) {
        if (s.reportedAt == NEVER) {
            return meanLoad;
        }
        double age = (now - s.reportedAt) / Math.max(1, service);
        double trust = Math.exp(-age * service / (FORGET_SERVICES * Math.max(tripTo(s), service)));
        double others =
                !fleet.known()
                        ? 0
                        : OTHERS_ALIKE * s.sentSince * (sharing() - 1)
                                - HAVE_LEFT * s.load * (1 - Math.exp(-age));
        return Math.max(0, meanLoad + trust * (s.load + others - meanLoad));
    }

    // The nodes that have a server in their subset.
    private double sharing() {
        return Math.max(
                1, settings.nodeCount() * Math.min(1, subset.size() / (double) ring.count()));
    }

    private boolean known(Server s) {
        long age = now - s.reportedAt;
        return age <= FRESH_PART * Math.max(service, tripTo(s))
                || (s.load >= room(s) && age <= BUSY_PART * s.load / room(s) * service);
    }

    private boolean mute(Server s) {
        return s.probing && now >= muteAt(s);
    }

    // An answer is only heard with the next round, and from a far zone later than from a near one.
    private long muteAt(Server s) {
        double trip = tripTo(s);
        return s.probedAt
                + (long) Math.max(MUTE_TRIPS * trip, trip + 2 * settings.eventInterval())
                + 1;
    }

    private double tripTo(Server s) {
        return trips.getOrDefault(s.entry.zone(), FIRST_TRIP);
    }

    // Takes a load report; one that came with an answer still counts the attempt that it answered.
    private void report(Server s, LoadReport report, int own) {
        if (!Double.isNaN(report.inFlight())) {
            s.load = Math.max(0, Math.rint(report.inFlight()) - own);
            s.sentSince = 0;
            s.reportedAt = now;
            hears = settings.reportsLoad() && !sounds && !freshness.stale();
            meanLoad += BLEND * (s.load - meanLoad);
            learnRoom(s, report, own);
        }
    }

    // Departure "room": what a server holds for each part of its cores that is busy tells how much
    // it holds.
    // Taken for one, a server with a free core counts as full, and its cold budget is a part of
    // what it is;
    // and one whose requests mostly wait on others was full with two of the sixty that it holds
    // with ease.
    private void learnRoom(Server s, LoadReport r, int own) {
        boolean waiting = r.queued() >= 1;
        boolean rate = hears && r.requestsPerSecond() > 0 && service > 0;
        double busy = waiting && !rate ? 1 : r.utilization();
        // By Little's law, with the time that a request takes where none waits: what waits is left
        // out.
        double running =
                rate
                        ? r.requestsPerSecond() * (spareTime > 0 ? spareTime : service) / SECOND
                        : waiting ? r.inFlight() - r.queued() : r.inFlight() - own;
        if (busy > 0 && running >= 0 && (rate || waiting || (busy <= SPARE && now >= wokenAt))) {
            fleet.saw(running, busy, rate ? RATE_SAYS : 1);
            s.room.saw(running, busy, rate ? RATE_SAYS : 1);
        }
    }

    // ==== Sending
    // ====================================================================================

    private void serveHeld() {
        for (Request q : new ArrayList<>(held)) {
            // Nothing told frees a server: what waits for its own sounding need not walk the subset
            // again.
            if (!news && q.sounding != null && q.sounding.probing && !mute(q.sounding)) {
                continue;
            }
            Server s = next(q);
            if (s == null) {
                // Departure "head of the line": what follows one that may go anywhere finds no
                // server either.
                // Each with soundings of its own, the held of many nodes all saw and took the same
                // free core.
                if (!hears && untouched(q) && (!sounds || maySound(q))) {
                    return;
                }
            } else if (!sounds || known(s)) {
                send(q, s);
            } else if (q.sounding == null || !q.sounding.probing || mute(q.sounding)) {
                q.sounding = s;
                q.probeAt = now + (q.end - now) / Math.max(1, mostProbes - q.probes);
                q.probes++;
                if (!s.probing) {
                    s.probing = true;
                    s.probedAt = now;
                    sink.accept(new SendProbe(s.id));
                }
            }
        }
    }

    // A held request that can no longer be served in time gets its answer at once.
    private void expire() {
        while (!heldByEnd.isEmpty() && doomed(heldByEnd.first())) {
            Request q = heldByEnd.first();
            if (untouched(q) || !makeLate(q)) {
                giveUp(q);
            } else {
                hold(q);
            }
        }
    }

    private boolean doomed(Request q) {
        return now + needed(q) >= q.end;
    }

    // Departure "late worth": what was tried in vain until its aim is tried on for what a late
    // answer is
    // worth, behind all that can still be in time. Untried, a late start only takes the place of
    // another.
    private boolean makeLate(Request q) {
        boolean late = q.end < q.usefulUntil && now + needed(q) < q.usefulUntil;
        if (late) {
            release(q);
            q.end = q.usefulUntil;
            q.worth *= q.type.lateValueRatio();
        }
        return late;
    }

    // The time that must be left. With half of its aim left a request is always worth a try: a
    // class refused
    // on arrival yields no samples, and would be refused for ever after one bad spell.
    private double needed(Request q) {
        return Math.min(DOOMED_PART * service, q.type.latencyObjective() / 2.0);
    }

    // Departure "soundings": half of a request's probes may follow each other, the rest is spread
    // over its
    // time. In a large fleet that is busy all over, each held request sounded all of it again and
    // again.
    private boolean maySound(Request q) {
        return q.probes < mostProbes / 2 || (q.probes < mostProbes && now >= q.probeAt);
    }

    private void send(Request q, Server s) {
        takeTurn(s, weightsFor(q));
        release(q);
        Attempt a =
                new Attempt(
                        q,
                        q.attempts++,
                        s,
                        now,
                        hears
                                ? Math.max(s.out.size(), believed(s))
                                : Math.max(s.load, s.out.size()));
        q.out.add(a);
        load(a);
        if (subsetSize() > subset.size() && subset.size() < ring.count()) {
            chooseSubset();
        }
        if (!held.isEmpty()) {
            pace = blend(pace, (double) (now - sentAt));
        }
        sentAt = now;
        s.pace.sent(now);
        if (q.attempts == 1) {
            retries.first(rowOf(q));
        } else if (q.met || q.out.size() > 1) {
            retries.again(rowOf(q));
        }
        if (warmth(s, now) < 1) {
            s.coldSends.add(now);
            s.coldDrawnAt = NEVER;
        }
        sink.accept(new SendAttempt(q.id, s.id, Math.max(1, q.usefulUntil - now)));
    }

    private void attemptEnded(AttemptEnded e) {
        Request q = requests.get(e.id());
        Attempt a = q == null ? null : attempt(q, e.attempt());
        if (a == null) {
            return;
        }
        Server s = a.server;
        q.out.remove(a);
        if (a.sentAt != NEVER) {
            unload(a);
        }
        // Heard of a server that fails at once, an empty queue would draw the traffic to it.
        if (!hears || e.result() == AttemptResult.SERVED) {
            report(s, e.loadReport(), e.result() == AttemptResult.SERVED ? 1 : 0);
        }
        judge(s, a, e);
        unreached +=
                UNREACHED_BLEND
                        * ((e.result() == AttemptResult.CONNECT_FAILED ? 1 : 0) - unreached);
        q.met |= e.result() != AttemptResult.CONNECT_FAILED && e.result() != AttemptResult.NOT_SENT;
        boolean given =
                e.result() == AttemptResult.TIMED_OUT
                        || (e.result() == AttemptResult.CANCELLED && !q.over);
        if (given || e.result() == AttemptResult.SERVED) {
            unanswered += BLEND * ((given ? 1 : 0) - unanswered);
        }
        if (!e.result().neverRan() && q.firstThatMayHaveRun == null) {
            q.firstThatMayHaveRun = a;
        }
        if (e.requestComplete()) {
            end(q);
        } else if (!q.over && q.out.isEmpty()) {
            again(q, s);
        }
        forget(q);
    }

    // A further attempt where the rules allow one and it can still be in time; else the final
    // answer.
    private void again(Request q, Server failed) {
        q.avoid = failed;
        // What came to no server was no load: where connections fail, the budget would refuse the
        // rest.
        if ((!doomed(q) || makeLate(q))
                && (!q.met || retries.allows(rowOf(q)))
                && subset.stream().anyMatch(s -> s.state == EndpointState.UP && maySend(q, s))) {
            hold(q);
        } else {
            giveUp(q);
        }
    }

    // ==== Health
    // =====================================================================================

    private void judge(Server s, Attempt a, AttemptEnded e) {
        switch (e.result()) {
            case SERVED -> {
                // What its server reports, as the design has it, and the node's own where it tells
                // none.
                double reported = e.loadReport().latencyMicros();
                sample(s, rowOf(a.request), reported > 0 ? (long) reported : e.elapsed());
                if (e.loadReport().utilization() <= SPARE) {
                    spareTime = blend(spareTime, (double) e.elapsed());
                }
                served++;
                if (e.elapsed() > QUEUED_PART * a.request.type.latencyObjective()) {
                    s.pace.congested(now, s.out.size() + 1, service, sharing());
                } else {
                    s.pace.served(s.out.size(), sharing());
                }
                answered(s);
                // One that fails some of its requests would begin anew after each that it serves.
                s.strikes = hears ? s.strikes / 2 : 0;
                s.errors = 0;
                learn(s, a, e.elapsed());
            }
            case TIMED_OUT -> {
                s.pace.congested(now, s.out.size() + 1, service, sharing());
                // An answer that is lost for good tells nothing of the fleet's speed: taken whole,
                // a few of
                // them made every server too slow for any request.
                double most =
                        service > 0 ? SILENT_EACH * service * turns(s, a.loadBefore) : e.elapsed();
                learn(s, a, (long) Math.min((double) e.elapsed(), most));
                if (hears && fleet.known()) {
                    // Departure "unheard": what did not end in this time had so many turns before
                    // it, and no
                    // answer tells of them. Forgotten, the server stood at the mean and drew sends.
                    s.load = Math.max(s.load, room(s) * e.elapsed() / service);
                    s.reportedAt = now;
                }
            }
            case CONNECT_FAILED -> lose(s);
            case RESET -> broken(s);
            case ERROR -> failed(s);
            case REJECTED -> {
                bar(s, Math.max(s.barredUntil, now + (long) (service / 2)));
                s.pace.congested(now, s.out.size() + 1, service, sharing());
            }
            default -> {}
        }
    }

    // Departure "unreached": where connections fail at all servers, some of a live one fail in a
    // row.
    // Each server was taken for dead and back, and so held to a cold one's budget.
    private void lose(Server s) {
        s.lost |= Math.pow(unreached, ++s.misses) < CHANCE;
        strike(s);
    }

    // A process that dies breaks all that is out and takes no more connections: one break proves no
    // death.
    // Where breaks hit all servers at random, each was barred, and then held to a cold one's
    // budget.
    private void broken(Server s) {
        if (hears || ++s.errors >= ERRORS_IN_A_ROW) {
            lose(s);
        }
    }

    private void failed(Server s) {
        // A node that meets a server once in a while is told by the first error, or it learns of it
        // too late.
        if (++s.errors >= (hears ? 1 : ERRORS_IN_A_ROW) && !manyBarred()) {
            s.strikes = hears ? Math.max(s.strikes, HEARD_ERROR) : s.strikes;
            strike(s);
        }
    }

    // What an attempt took, at the least: left out, those that ran out of time hide that all is
    // slow.
    private void learn(Server s, Attempt a, long elapsed) {
        double alone = elapsed / turns(s, a.loadBefore);
        service = blend(service, alone);
        s.slowness = blend(s.slowness, alone / service);
    }

    private static double blend(double mean, double sample) {
        return mean == 0 ? sample : mean + BLEND * (sample - mean);
    }

    private void answered(Server s) {
        s.answeredAt = now;
        s.misses = 0;
        if (s.lost) {
            // A server that was unreachable and answers again has most likely restarted: it is
            // cold.
            s.lost = false;
            s.coldSince = now;
            s.coldDrawnAt = NEVER;
        }
    }

    private void strike(Server s) {
        if (now < s.barredUntil) {
            return;
        }
        // A bar shorter than the time between two sends to a server is none. Of what is asked for:
        // by what is
        // served bars grew with what they kept from being served, until next to nothing was.
        double turn = hears ? Math.max(FIRST_BAR, askedEvery * subset.size()) : FIRST_BAR;
        long span = (long) Math.min(FIRST_BAR << MOST_STRIKES, turn * (1 << s.strikes));
        bar(s, now + span / 2 + random.nextLong(span));
        s.strikes = Math.min(MOST_STRIKES, s.strikes + 1);
        if (ring.count() > subset.size()) {
            chooseSubset();
        }
    }

    private void probeEnded(ProbeEnded e) {
        Server s = ring.get(e.server());
        if (s == null) {
            return;
        }
        s.probing = false;
        switch (e.result()) {
            case SERVED -> {
                trips.merge(s.entry.zone(), (double) e.elapsed(), DecisionEngine::blend);
                freshness.saw(s.report, e.loadReport(), now - s.reportedAt, service);
                s.report = e.loadReport();
                report(s, e.loadReport(), 0);
                sound(sounds && !freshness.stale());
                if (Double.isNaN(e.loadReport().inFlight())) {
                    // Departure "mute reports": with no load told the rotation goes on by the
                    // node's own
                    // sends. Taken for unknown, the servers stood idle while all was held and
                    // refused.
                    s.load = s.out.size();
                    s.reportedAt = now;
                }
                answered(s);
                news = crowd(s) < room(s);
            }
            case ERROR -> failed(s);
            case RESET -> broken(s);
            case CONNECT_FAILED -> lose(s);
            case NOT_SENT -> {}
            default -> strike(s);
        }
    }

    // Departure "stale loads": asked for again and again they stay as they are. Then it is the
    // rotation, what
    // the node itself has out and what servers turn away that count.
    private void sound(boolean may) {
        if (sounds && !may) {
            ring.forEach(s -> s.load = s.out.size());
        }
        sounds = may;
        hears &= settings.reportsLoad() && !sounds;
    }

    // Looks for what time alone brings: requests past their use, and servers that have fallen
    // silent.
    private void look() {
        if (now >= askAt) {
            askAt = Long.MAX_VALUE;
            sink.accept(new WatchEndpoints());
        }
        if (now < lookAt) {
            return;
        }
        lookAt = now + LOOK_EVERY;
        LinkedHashSet<Attempt> overdue = new LinkedHashSet<>();
        out.forEach(a -> a.server.due = 0);
        for (Attempt a : out) {
            Server s = a.server;
            double expected = serviceOf(s) * turns(s, a.loadBefore);
            double waits = expected > 0 ? (now - Math.max(a.sentAt, s.answeredAt)) / expected : 0;
            s.due += Math.min(waits, SILENT_EACH);
            if (unanswered > LOST_PART && expected > 0 && now - a.sentAt > OVERDUE * expected) {
                overdue.add(a);
            }
        }
        for (Attempt a : new ArrayList<>(out)) {
            Server s = a.server;
            if (s.due > SILENT_ANSWERS && now >= s.barredUntil && !manyBarred()) {
                strike(s);
                overdue.addAll(s.out);
            }
        }
        overdue.forEach(this::moveOn);
    }

    // What half of the fleet shows is no single server's trouble, and the rest could not carry the
    // load.
    private boolean manyBarred() {
        while (!barred.isEmpty() && barred.first().barredUntil <= now) {
            barred.pollFirst();
        }
        return 2 * barred.size() >= subset.size();
    }

    private void bar(Server s, long until) {
        barred.remove(s);
        s.barredUntil = until;
        if (until > now && s.state != EndpointState.REMOVED) {
            barred.add(s);
        }
    }

    // Departure "silence": what is out at a silent server, or out for far too long, is tried anew
    // where a
    // repeat is allowed and can still be in time. A quiet node seldom has two attempts at one
    // server.
    private void moveOn(Attempt a) {
        Request q = a.request;
        boolean mayRepeat =
                q.type.idempotency() == Idempotency.IDEMPOTENT
                        || (q.type.idempotency() == Idempotency.KEYED
                                && now < a.sentAt + q.type.deduplicationWindow() / 2);
        if (!q.over
                && !q.started
                && !q.once
                && mayRepeat
                && q.limits.cancellationAllowed()
                && q.attempts < q.limits.maxAttempts()
                && !doomed(q)) {
            sink.accept(new CancelAttempt(q.id, a.number));
        }
    }

    // ==== Cold servers
    // ===============================================================================

    // The least part of its capacity that a server can have at an instant.
    private double warmth(Server s, long at) {
        long age = at - s.coldSince;
        if (age >= settings.rules().slowStartDuration()) {
            return 1;
        }
        double from = Math.max(0.01, settings.rules().initialCapacityRatio());
        return from + (1 - from) * age / settings.rules().slowStartDuration();
    }

    private boolean coldBudgetLeft(Server s) {
        double warmth = warmth(s, now);
        if (warmth >= 1) {
            s.coldSends.clear();
            return true;
        }
        while (!s.coldSends.isEmpty()
                && now - s.coldSends.peekFirst() >= settings.rules().overloadWindow()) {
            s.coldSends.removeFirst();
        }
        double budget = coldBudget(warmth);
        if (budget >= 1 || !s.coldSends.isEmpty()) {
            return s.coldSends.size() < (int) budget;
        }
        // One send for each of hundreds of nodes pushed the server over: a part of one is kept as a
        // chance.
        if (s.coldDrawnAt == NEVER) {
            s.coldDrawnAt = now;
            s.coldDraw = -Math.log(1 - random.nextDouble());
        }
        long waited = now - s.coldDrawnAt;
        return waited * coldBudget(warmth(s, now - waited / 2))
                >= s.coldDraw * settings.rules().overloadWindow();
    }

    // This node's part of what a cold server may be sent before it falls over: of what a server
    // does alone
    // where loads are known, else of what this node sends to the mean server, which that one
    // carries.
    private double coldBudget(double warmth) {
        double nodes = sharing();
        double perServer = sounds && service > 0 ? fleet.size(1) / service / nodes : servedRate;
        double capacity = settings.rules().overloadWindow() * perServer;
        double part = COLD_CAUTION * settings.rules().overloadMultiple() * warmth * capacity;
        return Math.max(part, Math.min(1, LEAST_SENDS / nodes));
    }

    // ==== DecisionSettings and the server list
    // ===============================================================

    // DecisionSettings come in force at one instant. What is learnt of a class stays with its name;
    // what
    // was taken
    // before keeps what it was taken with, and if its class is gone it goes on by the shared row.
    private void takeOver(DecisionSettings next) {
        settings = next;
        double price = next.costs().probe();
        mostProbes = (int) Math.min(FREE_SUBSET, price > 0 ? PROBE_SPEND / price : FREE_SUBSET);
        sound(
                next.limits().probesAllowed()
                        && next.reportsLoad()
                        && price * 2 <= PROBE_SPEND
                        && !freshness.stale());
        List<String> names = next.requestClasses().stream().map(RequestClass::name).toList();
        longestTry.keySet().retainAll(new LinkedHashSet<>(names));
        rows.rename(names);
        rowLive = new boolean[rows.shared() + 1];
        retries.layOut(rows);
        ring.first(ring.count()).stream().filter(s -> !s.rows.isEmpty()).forEach(this::layRows);
    }

    private void follow(EndpointUpdate list) {
        asksFailed = 0;
        boolean whole = list.scope() != UpdateScope.INCREMENTAL;
        List<Server> named = whole ? ring.first(ring.count()) : new ArrayList<>();
        named.forEach(s -> s.state = EndpointState.REMOVED);
        for (Endpoint e : list.endpoints()) {
            Server s = ring.get(e.id());
            boolean known = s != null;
            if (!known) {
                s = new Server(e);
                // By the size as it was first told: a weight that follows the load would move all
                // others.
                ring.put(s.id, Math.max(0.01, e.nominalWeight()), s);
            }
            if (e.zone() != s.entry.zone()) {
                // Zones are numbered anew.
                trips.clear();
            }
            if (!known || e.startedAt() > s.entry.startedAt()) {
                s.coldSince = Math.max(s.coldSince, e.startedAt() > 0 ? e.startedAt() : NEVER);
                s.coldDrawnAt = NEVER;
                s.slowness = 0;
                s.strikes = 0;
                bar(s, NEVER);
            }
            s.entry = e;
            s.state = e.state();
            named.add(s);
        }
        // Named twice, a server is what it was named last.
        for (Server s : named) {
            if (s.state == EndpointState.REMOVED) {
                ring.remove(s.id);
                barred.remove(s);
            }
        }
        chooseSubset();
    }

    private void askAgain() {
        if (settings.discoveryMode() == DiscoveryMode.POLL) {
            long span = ASK_AGAIN << Math.min(asksFailed++, MOST_ASK_DOUBLINGS);
            askAt = now + span / 2 + random.nextLong(span);
        }
    }

    // ==== Time
    // =======================================================================================

    private void setTimer() {
        long at = Math.min(windowEnd, askAt);
        if (!held.isEmpty() || !out.isEmpty()) {
            at = Math.min(at, Math.max(lookAt, now + 1));
        }
        if (!heldByEnd.isEmpty()) {
            at = Math.min(at, heldByEnd.first().end);
            Request q = held.first();
            if (q.sounding != null && q.sounding.probing && !mute(q.sounding)) {
                at = Math.min(at, muteAt(q.sounding));
            } else if (sounds) {
                at = Math.min(at, now + (long) (FRESH_PART * service) + 1_000);
            }
        }
        at = Math.max(at, now + 1);
        if (at < timerAt) {
            timerAt = at;
            sink.accept(new SetTimer(at - now, "tick"));
        }
    }
}
