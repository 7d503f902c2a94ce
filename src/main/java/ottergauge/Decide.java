// SPDX-License-Identifier: Apache-2.0
package ottergauge;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeSet;
import ottergauge.DecisionApi.Action;
import ottergauge.DecisionApi.ActionSink;
import ottergauge.DecisionApi.AnswerStarted;
import ottergauge.DecisionApi.AttemptEnded;
import ottergauge.DecisionApi.Cancel;
import ottergauge.DecisionApi.ClientGone;
import ottergauge.DecisionApi.Discovery;
import ottergauge.DecisionApi.Event;
import ottergauge.DecisionApi.Fail;
import ottergauge.DecisionApi.Group;
import ottergauge.DecisionApi.ListFailed;
import ottergauge.DecisionApi.ListScope;
import ottergauge.DecisionApi.ListedServer;
import ottergauge.DecisionApi.LoadReport;
import ottergauge.DecisionApi.Probe;
import ottergauge.DecisionApi.ProbeEnded;
import ottergauge.DecisionApi.Refuse;
import ottergauge.DecisionApi.Repeat;
import ottergauge.DecisionApi.RequestArrived;
import ottergauge.DecisionApi.RequestClass;
import ottergauge.DecisionApi.Result;
import ottergauge.DecisionApi.Send;
import ottergauge.DecisionApi.ServerList;
import ottergauge.DecisionApi.ServerState;
import ottergauge.DecisionApi.SetTimer;
import ottergauge.DecisionApi.Settings;
import ottergauge.DecisionApi.Subscribe;
import ottergauge.DecisionApi.Tenant;
import ottergauge.DecisionApi.TimerFired;

/**
 * Every decision of a node and nothing else. Its interface (settings, events, actions) is DecisionApi.java.
 *
 * <p>A deterministic state machine: an instant and an event go in, actions come out. The ordinary path is
 * Per-Function Auto Weighted Round-Robin; docs/design.md lists the departures and says when each acts.
 */
public final class Decide {

    // ---- The design's starting values --------------------------------------------------------------
    private static final long WINDOW = 5_000_000;
    private static final int WEIGHT_TOTAL = 1000;
    /** The class table's bound: classes past it borrow the shared row. */
    private static final int MOST_ROWS = 64;
    /** A server's own mean outlives this many windows without a sample; then the others' stands in. */
    private static final int WINDOWS_KEPT = 2;
    /** A server is skipped when its own in-flight count is over this multiple of the mean, plus one. */
    private static final double SKIP_MULTIPLE = 2;

    // ---- Figures of the departures, each with its reason --------------------------------------------
    /** The way to the client and back, which the node cannot time: an answer must leave this early. */
    private static final long CLIENT_TRIP = 2_000;
    /** The weight of a new sample in the running means: about the last ten count. */
    private static final double BLEND = 0.1;
    /** The most of the result that probing for load may cost: well under what a bad choice costs. */
    private static final double PROBE_SPEND = 0.03;
    /** A report is fresh for this part of a service time: the chance that the load changed is as small. */
    private static final double FRESH_PART = 0.08;
    /** A server seen busy stays so for this part of the work it was seen to hold. */
    private static final double BUSY_PART = 0.3;
    /** A server is worth a send if what it holds, and this request, fit in this part of the time left. */
    private static final double FIT_PART = 0.75;
    /** Less than this part of a service time left to the aim: the request can no longer make it. */
    private static final double DOOMED_PART = 0.6;
    /** Where loads are not known, the time left must cover this multiple of what the class usually takes. */
    private static final double LATE_PART = 2;
    /** A sounded server that has not answered for this multiple of the usual trip is mute. */
    private static final double MUTE_TRIPS = 4;
    private static final long FIRST_TRIP = 1_000;
    /** Silence is proven when this many answers should have come and none did: e^-5 is under 1 in 100. */
    private static final double SILENT_ANSWERS = 5;
    /** One attempt proves no more than this: a costly request also makes a server look silent. */
    private static final double SILENT_EACH = 3;
    /** The part of the aim that an answer may take at a server before its room shrinks. */
    private static final double ROOM_SHARE = 0.25;
    /** A server that reports less than this part of its cores busy is not crowded. */
    private static final double IDLE_CORES = 0.8;
    /** What all nodes together start with at a server that none of them has had an answer from. */
    private static final double FIRST_ROOM = 2;
    /**
     * Departure "errors": errors in a row that bar a server. One that fails at once looks idle and quick, and
     * would draw most sends; a single error is ordinary. A probe answered proves nothing here.
     */
    private static final int ERRORS_IN_A_ROW = 2;
    /** Bars double from the first to the last. */
    private static final long FIRST_BAR = 100_000;
    private static final int MOST_STRIKES = 6;
    /** The part of the cold budget that is used: the guide is an estimate. */
    private static final double COLD_CAUTION = 0.6;
    /** Before it has answered, a cold server is hoped to do this multiple of the least it can do by now. */
    private static final double COLD_HOPE = 1.5;
    private static final long LOOK_EVERY = 25_000;
    private static final long FIRST_ASK_WITHIN = 200_000;
    private static final long ASK_AGAIN = 500_000;
    private static final int MOST_ASK_DOUBLINGS = 3;
    private static final long NEVER = Long.MIN_VALUE / 4;
    private static final String TICK = "tick";

    /** A server, as this node knows it. */
    private static final class Server {
        final long id;
        ListedServer entry;
        ServerState state;
        final ArrayList<Attempt> out = new ArrayList<>();
        // The rotation: one slot for each row.
        final double[] sum;
        final int[] count;
        final double[] mean;
        final int[] idle;
        final int[] weight;
        final double[] current;
        boolean candidate;
        // Load and health.
        double load;
        long reportedAt = NEVER;
        long probedAt = NEVER;
        boolean probing;
        double slowness;
        double utilization = 1;
        double room;
        boolean roomFound;
        long restsUntil = NEVER;
        long answeredAt = NEVER;
        int strikes;
        int errors;
        long barredUntil = NEVER;
        boolean lost;
        // Warm-up.
        long coldSince = NEVER;
        final ArrayDeque<Long> coldSends = new ArrayDeque<>();

        Server(ListedServer entry, int rows) {
            this.id = entry.id();
            this.entry = entry;
            this.state = entry.state();
            sum = new double[rows];
            count = new int[rows];
            mean = new double[rows];
            idle = new int[rows];
            weight = new int[rows];
            current = new double[rows];
        }
    }

    /** A request that this node holds or has sent. */
    private static final class Request {
        final String id;
        final long number;
        final RequestClass type;
        final int row;
        final long usefulUntil;
        final double rank;
        final ArrayList<Attempt> out = new ArrayList<>(1);
        int attempts;
        Attempt firstThatMayHaveRun;
        boolean started;
        boolean over;
        boolean held;
        Server sounding;
        Server avoid;

        Request(String id, long number, RequestClass type, int row, long usefulUntil, double rank) {
            this.id = id;
            this.number = number;
            this.type = type;
            this.row = row;
            this.usefulUntil = usefulUntil;
            this.rank = rank;
        }
    }

    private record Attempt(Request request, int number, Server server, long sentAt, double loadBefore) { }

    private final Settings settings;
    private final SplittableRandom random;
    private final int sharedRow;
    private final boolean sounds;
    private final double firstRoom;
    private final double leastRoom;
    private final Map<Long, Server> byId = new HashMap<>();
    private final ArrayList<Server> servers = new ArrayList<>();
    private final Map<String, Request> requests = new HashMap<>();
    private final TreeSet<Request> held = new TreeSet<>(Decide::order);
    private final TreeSet<Request> heldByEnd = new TreeSet<>(Decide::orderByEnd);
    private final double[] tokens;
    private final long[] tokensAt;
    private final long[] longestTry;
    private final boolean[] rowLive;
    private final double[] usual;
    private long sent;
    private double sendRate;
    private double pace;
    private long sentAt;
    private double service;
    private double trip = FIRST_TRIP;
    private long requestNumber;
    private long windowEnd = NEVER;
    private long lookAt = NEVER;
    private long askAt = Long.MAX_VALUE;
    private int asksFailed;
    private long timerAt = Long.MAX_VALUE;
    private long now;
    private ActionSink sink;

    public Decide(Settings settings, long seed) {
        this.settings = settings;
        random = new SplittableRandom(seed);
        sharedRow = Math.min(settings.classes().size(), MOST_ROWS);
        longestTry = new long[settings.classes().size()];
        rowLive = new boolean[sharedRow + 1];
        usual = new double[sharedRow + 1];
        sounds = settings.limits().probes() && settings.reportsLoad()
            && settings.prices().probe() * 2 <= PROBE_SPEND;
        firstRoom = FIRST_ROOM / settings.nodes();
        leastRoom = firstRoom / 4;
        tokens = new double[settings.tenants().size()];
        tokensAt = new long[tokens.length];
        for (int t = 0; t < tokens.length; t++) {
            tokens[t] = settings.tenants().get(t).quotaPerSecond() / settings.nodes();
        }
    }

    /** Takes one event; the actions are to happen at the same instant, in their order. */
    public void handle(long at, Event event, ActionSink out) {
        if (windowEnd == NEVER) {
            start(at);
        }
        now = at;
        sink = out;
        if (now >= timerAt) {
            timerAt = Long.MAX_VALUE;
        }
        if (now >= windowEnd) {
            endWindow();
        }
        if (event instanceof RequestArrived e) {
            arrive(e);
        } else if (event instanceof AttemptEnded e) {
            attemptEnded(e);
        } else if (event instanceof ProbeEnded e) {
            probeEnded(e);
        } else if (event instanceof ServerList e) {
            follow(e);
        } else if (event instanceof ListFailed) {
            askAgain();
        } else if (event instanceof ClientGone e) {
            clientGone(e);
        } else if (event instanceof AnswerStarted e) {
            answerStarted(e);
        } else if (!(event instanceof TimerFired)) {
            throw new IllegalArgumentException("unknown event " + event);
        }
        look();
        expire();
        serveHeld();
        setTimer();
    }

    private void start(long at) {
        windowEnd = at + WINDOW;
        java.util.Arrays.fill(tokensAt, at);
        if (settings.discovery() == Discovery.ON_REQUEST) {
            askAt = at + random.nextLong(FIRST_ASK_WITHIN);
        }
    }

    private void act(Action action) {
        sink.accept(action);
    }

    // ==== Requests: one final answer each ============================================================

    private void arrive(RequestArrived e) {
        RequestClass type = settings.classes().get(e.requestClass());
        boolean again = isRepeat(e, type);
        long began = again ? Math.min(now, e.giveUpAt() - type.deadline()) : now;
        long aimAt = began + type.aim() - CLIENT_TRIP;
        long usefulUntil = Math.max(now, type.lateWorth() > 0 ? e.giveUpAt() : Math.min(aimAt, e.giveUpAt()));
        double worth = type.worth() * (withinShare(e.tenant()) ? 1 : settings.overShareWorth());
        int row = Math.min(e.requestClass(), sharedRow);
        double rank = worth;
        Request q = new Request(e.id(), requestNumber++, type, row, usefulUntil, rank);
        requests.put(q.id, q);
        if (hopeless(q)) {
            giveUp(q);
        } else {
            hold(q);
        }
    }

    /**
     * Departure "prompt refusal": by Little's law the requests ahead, at the pace of the sends from a
     * backlog, take longer than this one can wait. Held all the same, it would wait long to be refused.
     */
    private boolean hopeless(Request q) {
        return !sounds && pace > 0 && !held.isEmpty()
            && held.headSet(q).size() * pace > q.usefulUntil - needed(q) - now;
    }

    /**
     * Departure "repeats": a client's repeat is judged by the aim of its first try, which began one deadline
     * before the repeat's end. Taken for a new request, it draws work for an answer that is worth nothing.
     * Where clients do not mark repeats, one shows by less time left than a first try has.
     */
    private boolean isRepeat(RequestArrived e, RequestClass type) {
        if (settings.repeatsMarked()) {
            return e.clientRepeat();
        }
        long left = e.giveUpAt() - now;
        if (left > longestTry[e.requestClass()]) {
            longestTry[e.requestClass()] = left;
        }
        return left < longestTry[e.requestClass()] - settings.rules().answerSlack();
    }

    /** A tenant's requests past its share of the quota are worth little: they are served after the others. */
    private boolean withinShare(int tenant) {
        if (tenant < 0) {
            return true;
        }
        Tenant t = settings.tenants().get(tenant);
        double perSecond = t.quotaPerSecond() / settings.nodes();
        tokens[tenant] = Math.min(perSecond, tokens[tenant] + (now - tokensAt[tenant]) * perSecond / 1e6);
        tokensAt[tenant] = now;
        if (tokens[tenant] < 1) {
            return false;
        }
        tokens[tenant] -= 1;
        return true;
    }

    private static int order(Request a, Request b) {
        int byRank = Double.compare(b.rank, a.rank);
        return byRank != 0 ? byRank : orderByEnd(a, b);
    }

    private static int orderByEnd(Request a, Request b) {
        int byEnd = Long.compare(a.usefulUntil, b.usefulUntil);
        return byEnd != 0 ? byEnd : Long.compare(a.number, b.number);
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

    /** Gives the final answer: a refusal where the rule lets it say that a retry is harmless. */
    private void giveUp(Request q) {
        release(q);
        q.over = true;
        if (mayRefuse(q)) {
            act(new Refuse(q.id, settings.limits().retryAfter() ? settings.limits().maxRetryAfter() : 0));
        } else {
            act(new Fail(q.id));
        }
        cancelAll(q);
        forget(q);
    }

    private void cancelAll(Request q) {
        if (settings.limits().cancel()) {
            for (Attempt a : q.out) {
                act(new Cancel(q.id, a.number));
            }
        }
    }

    private void forget(Request q) {
        if (q.over && q.out.isEmpty()) {
            requests.remove(q.id);
        }
    }

    private void clientGone(ClientGone e) {
        Request q = requests.get(e.id());
        if (q != null && !q.over) {
            release(q);
            q.over = true;
            cancelAll(q);
            forget(q);
        }
    }

    private void answerStarted(AnswerStarted e) {
        Request q = requests.get(e.id());
        if (q != null) {
            release(q);
            q.started = true;
        }
    }

    // ==== No effect twice ============================================================================

    private static boolean untouched(Request q) {
        return q.out.isEmpty() && q.firstThatMayHaveRun == null;
    }

    private static boolean mayRefuse(Request q) {
        return q.type.repeat() == Repeat.SAFE || untouched(q)
            || q.type.repeat() == Repeat.KEYED && q.type.group() == Group.ALL;
    }

    /** Whether the rules let this server have the request's next attempt; no other attempt of it is out. */
    private boolean maySend(Request q, Server s) {
        if (q.attempts >= settings.limits().maxAttempts()) {
            return false;
        }
        if (q.type.repeat() == Repeat.SAFE || untouched(q)) {
            return true;
        }
        if (q.type.repeat() == Repeat.UNSAFE) {
            return false;
        }
        Attempt first = q.firstThatMayHaveRun;
        return sameGroup(q.type.group(), first.server, s) && now < first.sentAt + q.type.window();
    }

    private static boolean sameGroup(Group group, Server a, Server b) {
        return switch (group) {
            case ALL -> true;
            case ZONE -> a.entry.zone() == b.entry.zone();
            case CELL -> a.entry.cell() == b.entry.cell();
        };
    }

    // ==== The rotation: Per-Function Auto Weighted Round-Robin =======================================

    private void sample(Server s, int row, long elapsed) {
        if (row != sharedRow) {
            s.sum[row] += elapsed;
            s.count[row]++;
        }
        s.sum[sharedRow] += elapsed;
        s.count[sharedRow]++;
    }

    private void endWindow() {
        sendRate = sent / (double) WINDOW / Math.max(1, servers.size());
        sent = 0;
        while (now >= windowEnd) {
            windowEnd += WINDOW;
        }
        for (int row = 0; row <= sharedRow; row++) {
            for (Server s : servers) {
                if (s.count[row] > 0) {
                    s.mean[row] = s.sum[row] / s.count[row];
                    s.idle[row] = 0;
                } else if (++s.idle[row] >= WINDOWS_KEPT) {
                    s.mean[row] = 0;
                }
                s.sum[row] = 0;
                s.count[row] = 0;
            }
            weigh(row);
        }
    }

    /** Weights of a row: the floor of a server's part of the inverse means, times the total, at least one. */
    private void weigh(int row) {
        double known = 0;
        int samples = 0;
        for (Server s : servers) {
            if (s.mean[row] > 0) {
                known += s.mean[row];
                samples++;
            }
        }
        rowLive[row] = samples > 0;
        double others = samples > 0 ? known / samples : 1;
        double largest = others;
        for (Server s : servers) {
            largest = Math.max(largest, s.mean[row]);
        }
        double raw = 0;
        for (Server s : servers) {
            raw += largest / meanOr(s, row, others);
        }
        for (Server s : servers) {
            s.weight[row] = Math.max(1, (int) (largest / meanOr(s, row, others) / raw * WEIGHT_TOTAL));
        }
    }

    private static double meanOr(Server s, int row, double others) {
        return s.mean[row] > 0 ? s.mean[row] : others;
    }

    private int liveRow(Request q) {
        return rowLive[q.row] ? q.row : sharedRow;
    }

    /** The next server of the rotation for a request, or null if none has room. The turn is not taken yet. */
    private Server next(Request q) {
        double mean = 0;
        double room = 0;
        for (Server s : servers) {
            mean += s.out.size();
            room += s.room;
        }
        if (!sounds && mean >= Math.max(1, room)) {
            return null;
        }
        mean /= Math.max(1, servers.size());
        double least = Double.MAX_VALUE;
        boolean other = false;
        for (Server s : servers) {
            s.candidate = open(s) && maySend(q, s) && s.out.size() <= SKIP_MULTIPLE * mean + 1 && fits(q, s);
            other |= s.candidate && s != q.avoid;
        }
        for (Server s : servers) {
            s.candidate &= s != q.avoid || !other;
            if (s.candidate) {
                least = Math.min(least, crowd(s));
            }
        }
        int row = liveRow(q);
        Server best = null;
        for (Server s : servers) {
            // Departure "reported skip": a server known to hold more than the least is skipped.
            s.candidate &= !sounds || crowd(s) < least + 1;
            if (s.candidate && (best == null
                || s.current[row] + s.weight[row] > best.current[row] + best.weight[row])) {
                best = s;
            }
        }
        return best;
    }

    private void takeTurn(Server chosen, int row) {
        int total = 0;
        for (Server s : servers) {
            if (s.candidate) {
                s.current[row] += s.weight[row];
                total += s.weight[row];
            }
        }
        chosen.current[row] -= total;
    }

    // ==== Room: what a server can take within the aim ================================================

    private boolean open(Server s) {
        double most = sounds ? Double.MAX_VALUE : Math.max(1, s.room);
        return s.state == ServerState.UP && now >= s.barredUntil && !mute(s) && coldBudgetLeft(s)
            && now >= s.restsUntil && s.out.size() < (s.strikes > 0 ? 1 : most);
    }

    /**
     * The fleet's service time by how much slower than the fleet this server is. A mean of its own sees too
     * few answers to follow when everything becomes slow, and work goes on being sent that will be late.
     */
    private double serviceOf(Server s) {
        // Departure "cold server": its own answers tell its speed. Held to the least that it can do, it stood
        // idle for most of its warm-up while a deploy left the others with too much.
        double warmth = warmth(s);
        if (warmth >= 1) {
            return service * (s.slowness > 0 ? s.slowness : 1);
        }
        double hoped = 1 / Math.min(1, COLD_HOPE * warmth);
        return service * (s.slowness > 0 ? Math.min(s.slowness, 1 / warmth) : hoped);
    }

    /** Whether the request can be expected to end at this server while its answer still has worth. */
    private boolean fits(Request q, Server s) {
        if (!sounds || service == 0) {
            return true;
        }
        double needed = (crowd(s) + 1) * serviceOf(s);
        return needed <= FIT_PART * (q.usefulUntil - now) || crowd(s) < 1 && warmth(s) >= 1;
    }

    private double crowd(Server s) {
        if (!sounds) {
            return s.out.size();
        }
        return known(s) ? Math.max(s.load, s.out.size()) : s.out.size();
    }

    private boolean known(Server s) {
        long age = now - s.reportedAt;
        return age <= FRESH_PART * Math.max(service, trip)
            || s.load >= 1 && age <= BUSY_PART * s.load * service;
    }

    private boolean mute(Server s) {
        return s.probing && now - s.probedAt > MUTE_TRIPS * trip;
    }

    /** Takes a load report; one that came with an answer still counts the attempt that it answered. */
    private void report(Server s, LoadReport report, int own) {
        if (!Double.isNaN(report.inFlight())) {
            s.load = Math.max(0, Math.rint(report.inFlight()) - own);
            s.reportedAt = now;
        }
        if (!Double.isNaN(report.utilization())) {
            s.utilization = report.utilization();
        }
    }

    // ==== Sending ====================================================================================

    private void serveHeld() {
        if (held.isEmpty()) {
            return;
        }
        for (Request q : new ArrayList<>(held)) {
            Server s = next(q);
            if (s == null) {
                if (untouched(q)) {
                    return;
                }
            } else if (!sounds || known(s)) {
                send(q, s);
            } else if (q.sounding == null || !q.sounding.probing || mute(q.sounding)) {
                q.sounding = s;
                probe(s);
            }
        }
    }

    /** A held request that can no longer be served in time gets its answer at once. */
    private void expire() {
        while (!heldByEnd.isEmpty() && doomed(heldByEnd.first())) {
            giveUp(heldByEnd.first());
        }
    }

    private boolean doomed(Request q) {
        return now + needed(q) >= q.usefulUntil;
    }

    /**
     * The time that a request must have left. With half of its aim left it is always worth a try: a class
     * that is refused on arrival yields no samples, and would be refused for ever after one bad spell.
     */
    private double needed(Request q) {
        double usually = sounds ? DOOMED_PART * service : LATE_PART * usual[q.row];
        return Math.min(usually, q.type.aim() / 2.0);
    }

    private void probe(Server s) {
        if (!s.probing) {
            s.probing = true;
            s.probedAt = now;
            act(new Probe(s.id));
        }
    }

    private void send(Request q, Server s) {
        takeTurn(s, liveRow(q));
        release(q);
        Attempt a = new Attempt(q, q.attempts++, s, now, Math.max(s.load, s.out.size()));
        q.out.add(a);
        s.out.add(a);
        s.load += 1;
        sent++;
        if (!held.isEmpty()) {
            pace = blend(pace, now - sentAt);
        }
        sentAt = now;
        if (warmth(s) < 1) {
            s.coldSends.add(now);
        }
        act(new Send(q.id, s.id, Math.max(1, q.usefulUntil - now)));
    }

    private void attemptEnded(AttemptEnded e) {
        Request q = requests.get(e.id());
        if (q == null) {
            return;
        }
        Attempt a = null;
        for (Attempt each : q.out) {
            if (each.number == e.attempt()) {
                a = each;
            }
        }
        if (a == null) {
            return;
        }
        Server s = a.server;
        q.out.remove(a);
        s.out.remove(a);
        s.load = Math.max(0, s.load - 1);
        report(s, e.report(), e.result() == Result.SERVED ? 1 : 0);
        judge(s, a, e);
        rest(s, e.elapsed());
        if (!e.result().neverRan() && q.firstThatMayHaveRun == null) {
            q.firstThatMayHaveRun = a;
        }
        if (e.over()) {
            if (!q.over) {
                q.over = true;
                release(q);
                cancelAll(q);
            }
        } else if (!q.over && q.out.isEmpty()) {
            again(q, s);
        }
        forget(q);
    }

    /** A further attempt where the rules allow one and it can still be in time; else the final answer. */
    private void again(Request q, Server failed) {
        q.avoid = failed;
        boolean possible = false;
        for (Server s : servers) {
            possible |= s.state == ServerState.UP && maySend(q, s);
        }
        if (possible && !doomed(q)) {
            hold(q);
        } else {
            giveUp(q);
        }
    }

    // ==== Health =====================================================================================

    private void judge(Server s, Attempt a, AttemptEnded e) {
        switch (e.result()) {
            case SERVED -> served(s, a, e.elapsed());
            case CONNECT_FAILED, RESET -> {
                s.lost = true;
                strike(s);
            }
            case TIMED_OUT -> learn(s, a, e.elapsed());
            case ERROR -> {
                if (++s.errors >= ERRORS_IN_A_ROW && !manyBarred()) {
                    strike(s);
                }
            }
            case REJECTED -> s.barredUntil = Math.max(s.barredUntil, now + (long) (service / 2));
            default -> { }
        }
    }

    private void served(Server s, Attempt a, long elapsed) {
        sample(s, a.request.row, elapsed);
        answered(s);
        s.strikes = 0;
        s.errors = 0;
        learn(s, a, elapsed);
    }

    /**
     * What an attempt took, or took at the least: one that ran out of time counts as well. Left out, the
     * means hold only the quick ones just when all is slow, and ever more work is sent that will be late.
     */
    private void learn(Server s, Attempt a, long elapsed) {
        int row = a.request.row;
        usual[row] = blend(usual[row], elapsed);
        double alone = elapsed / (1 + a.loadBefore);
        service = blend(service, alone);
        s.slowness = blend(s.slowness, alone / service);
        adjustRoom(s, elapsed / (double) a.request.type.aim());
    }

    /**
     * Room under one is kept by pauses between attempts. Without them many nodes, one attempt each, keep a
     * server jammed that has become slow by having too much to do.
     */
    private void rest(Server s, long elapsed) {
        if (!sounds && s.out.isEmpty() && s.room < 1) {
            s.restsUntil = now + (long) (elapsed * (1 / s.room - 1));
        }
    }

    private static double blend(double mean, double sample) {
        return mean == 0 ? sample : mean + BLEND * (sample - mean);
    }

    /** Departure "room": what may be out at a server follows how much of the aim its answers take. */
    private void adjustRoom(Server s, double part) {
        boolean idle = s.utilization < IDLE_CORES && part < 1 - ROOM_SHARE;
        if (part > ROOM_SHARE && !idle) {
            s.roomFound = true;
            s.room = Math.max(leastRoom, s.room - Math.min(1, part / ROOM_SHARE - 1) / 2);
        } else if (s.out.size() + 2 > s.room) {
            s.room += s.roomFound ? 1 / Math.max(1, s.room * settings.nodes()) : 1.0 / settings.nodes();
        }
    }

    private void answered(Server s) {
        s.answeredAt = now;
        if (s.lost) {
            // A server that was unreachable and answers again has most likely restarted: it is cold.
            s.lost = false;
            s.coldSince = now;
        }
    }

    private void strike(Server s) {
        if (now < s.barredUntil) {
            return;
        }
        long bar = FIRST_BAR << s.strikes;
        s.barredUntil = now + bar / 2 + random.nextLong(bar);
        s.strikes = Math.min(MOST_STRIKES, s.strikes + 1);
        s.room = firstRoom;
    }

    private void probeEnded(ProbeEnded e) {
        Server s = byId.get(e.server());
        if (s == null) {
            return;
        }
        s.probing = false;
        if (e.result() == Result.SERVED) {
            trip = blend(trip, e.elapsed());
            report(s, e.report(), 0);
            answered(s);
        } else {
            s.lost |= e.result() == Result.CONNECT_FAILED || e.result() == Result.RESET;
            strike(s);
        }
    }

    /** Looks for what time alone brings: requests past their use, and servers that have fallen silent. */
    private void look() {
        if (now >= askAt) {
            askAt = Long.MAX_VALUE;
            act(new Subscribe());
        }
        if (now < lookAt) {
            return;
        }
        lookAt = now + LOOK_EVERY;
        for (Server s : servers) {
            if (s.out.isEmpty() || now < s.barredUntil || manyBarred()) {
                continue;
            }
            double due = 0;
            for (Attempt a : s.out) {
                double expected = sounds ? serviceOf(s) * (a.loadBefore + 1) : usual[a.request.row];
                double waits = expected > 0 ? (now - Math.max(a.sentAt, s.answeredAt)) / expected : 0;
                due += Math.min(waits, SILENT_EACH);
            }
            if (due > SILENT_ANSWERS) {
                strike(s);
                moveAway(s);
            }
        }
    }

    /** What half of the fleet shows is no single server's trouble, and the rest could not carry the load. */
    private boolean manyBarred() {
        int barred = 0;
        for (Server s : servers) {
            barred += now < s.barredUntil ? 1 : 0;
        }
        return 2 * barred >= servers.size();
    }

    /** Departure "silence": what is out at a silent server is tried elsewhere, where a repeat is allowed. */
    private void moveAway(Server s) {
        for (Attempt a : new ArrayList<>(s.out)) {
            Request q = a.request;
            if (!q.over && !q.started && q.type.repeat() == Repeat.SAFE && settings.limits().cancel()
                && q.attempts < settings.limits().maxAttempts() && !doomed(q)) {
                act(new Cancel(q.id, a.number));
            }
        }
    }

    // ==== Cold servers ===============================================================================

    /** The least part of its capacity that a server can have by now. */
    private double warmth(Server s) {
        long age = now - s.coldSince;
        if (age >= settings.rules().coldFor()) {
            return 1;
        }
        double from = Math.max(0.01, settings.rules().coldFrom());
        return from + (1 - from) * age / settings.rules().coldFor();
    }

    /**
     * This node's part of what a cold server may be sent before it falls over: of what a server does alone
     * where loads are known, else of what this node sends to the mean server, which that one carries.
     */
    private boolean coldBudgetLeft(Server s) {
        double warmth = warmth(s);
        if (warmth >= 1) {
            s.coldSends.clear();
            return true;
        }
        while (!s.coldSends.isEmpty() && now - s.coldSends.peekFirst() >= settings.rules().fallAfter()) {
            s.coldSends.removeFirst();
        }
        double perServer = sounds && service > 0 ? 1 / service / settings.nodes() : sendRate;
        double capacity = settings.rules().fallAfter() * perServer;
        double budget = COLD_CAUTION * settings.rules().tipMultiple() * warmth * capacity;
        return s.coldSends.size() < Math.max(1, (int) budget);
    }

    // ==== The server list ============================================================================

    private void follow(ServerList list) {
        asksFailed = 0;
        if (list.scope() != ListScope.CHANGES) {
            Map<Long, Boolean> named = new HashMap<>();
            list.servers().forEach(e -> named.put(e.id(), true));
            for (Server s : servers) {
                if (!named.containsKey(s.id)) {
                    s.state = ServerState.GONE;
                }
            }
        }
        for (ListedServer e : list.servers()) {
            Server s = byId.get(e.id());
            if (s == null) {
                s = new Server(e, sharedRow + 1);
                s.room = firstRoom;
                byId.put(s.id, s);
                for (int row = 0; row <= sharedRow; row++) {
                    s.current[row] = random.nextDouble() * WEIGHT_TOTAL;
                }
                s.coldSince = startOf(e);
            } else if (e.startedAt() > s.entry.startedAt()) {
                s.coldSince = Math.max(s.coldSince, startOf(e));
                s.slowness = 0;
                s.strikes = 0;
                s.barredUntil = NEVER;
                s.room = firstRoom;
            }
            s.entry = e;
            s.state = e.state();
            if (!servers.contains(s)) {
                servers.add(s);
            }
        }
        servers.removeIf(s -> s.state == ServerState.GONE);
        servers.sort((a, b) -> Long.compare(a.id, b.id));
        for (int row = 0; row <= sharedRow; row++) {
            weigh(row);
        }
    }

    private static long startOf(ListedServer e) {
        return e.startedAt() > 0 ? e.startedAt() : NEVER;
    }

    private void askAgain() {
        if (settings.discovery() == Discovery.ON_REQUEST) {
            long span = ASK_AGAIN << Math.min(asksFailed++, MOST_ASK_DOUBLINGS);
            askAt = now + span / 2 + random.nextLong(span);
        }
    }

    // ==== Time =======================================================================================

    private void setTimer() {
        long at = Math.min(windowEnd, askAt);
        boolean busy = !held.isEmpty();
        for (Server s : servers) {
            busy |= !s.out.isEmpty();
        }
        if (busy) {
            at = Math.min(at, Math.max(lookAt, now + 1));
        }
        if (!heldByEnd.isEmpty()) {
            at = Math.min(at, heldByEnd.first().usefulUntil);
            Request q = held.first();
            if (q.sounding != null && q.sounding.probing && !mute(q.sounding)) {
                at = Math.min(at, q.sounding.probedAt + (long) (MUTE_TRIPS * trip) + 1);
            } else if (sounds) {
                at = Math.min(at, now + (long) (FRESH_PART * service) + 1_000);
            }
        }
        at = Math.max(at, now + 1);
        if (at < timerAt) {
            timerAt = at;
            act(new SetTimer(at - now, TICK));
        }
    }
}
