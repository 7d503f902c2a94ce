// SPDX-License-Identifier: Apache-2.0
package ottergauge;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import ottergauge.DecisionApi.Action;
import ottergauge.DecisionApi.AttemptEnded;
import ottergauge.DecisionApi.Cancel;
import ottergauge.DecisionApi.ClientGone;
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
import ottergauge.DecisionApi.SettingsChanged;
import ottergauge.DecisionApi.Subscribe;
import ottergauge.DecisionApi.TimerFired;

/**
 * A random but legal history of events for one module, which checks the four rules at every action.
 */
final class History {
    private static final int SERVERS = 8;
    private static final long SERVICE = 100_000;
    private static final ServerList NO_CHANGE = new ServerList(ListScope.CHANGES, List.of());

    private record Planned(long at, long number, Event event, Attempt attempt) {}

    private static final class Attempt {
        final Request request;
        final int number;
        final long server;
        final long sentAt;
        Result ended;

        Attempt(Request request, int number, long server, long sentAt) {
            this.request = request;
            this.number = number;
            this.server = server;
            this.sentAt = sentAt;
        }

        boolean mayHaveRun() {
            return ended == null || !ended.neverRan();
        }
    }

    private static final class Request {
        /** The settings that it was taken with; they hold for it to its end. */
        final Settings taken;

        final RequestClass type;
        final long giveUpAt;
        final List<Attempt> attempts = new ArrayList<>();
        boolean over;

        Request(Settings taken, RequestArrived event) {
            this.taken = taken;
            type = taken.classes().get(event.requestClass());
            giveUpAt = event.giveUpAt();
        }
    }

    final Node node;
    int sends;
    int finals;
    int again;
    int settingsChanges;

    /** The longest time from one arrival to the next. */
    int mostGap = 60_000;

    private Settings settings;
    private final List<Settings> others;
    private final SplittableRandom random;
    private final PriorityQueue<Planned> plan =
            new PriorityQueue<>(
                    Comparator.comparingLong(Planned::at).thenComparingLong(Planned::number));
    private final Map<String, Request> requests = new HashMap<>();
    private final Map<Long, Long> toldToStop = new HashMap<>();
    private final Map<Long, Long> startedAt = new HashMap<>();
    private final Map<Long, List<Long>> coldSends = new HashMap<>();
    private final Map<Long, Long> freeAt = new HashMap<>();
    private long planned;
    private long nextServer = SERVERS + 1;

    History(TestSettings with, long seed) {
        this(with, seed, List.of());
    }

    /**
     * At random instants one of the other settings comes in force, alone or with a change of the
     * list.
     */
    History(TestSettings with, long seed, List<Settings> others) {
        settings = with.build();
        this.others = others;
        random = new SplittableRandom(seed);
        node = new Node(settings, seed);
    }

    void run(int arrivals) {
        take(node.servers(SERVERS));
        long at = node.now;
        for (int i = 0; i < arrivals; i++) {
            at += random.nextLong(mostGap);
            int type = random.nextInt(settings.classes().size());
            long left =
                    settings.classes().get(type).deadline() * (random.nextInt(4) == 0 ? 1 : 2) / 2;
            plan(
                    at,
                    new RequestArrived(
                            "q" + i, type, at + left, random.nextInt(10) == 0, random.nextInt(5)),
                    null);
            if (random.nextInt(20) == 0) {
                plan(at + random.nextLong(left), new ClientGone("q" + i), null);
            }
            if (random.nextInt(60) == 0) {
                plan(at, change(at), null);
            }
            if (!others.isEmpty() && random.nextInt(40) == 0) {
                Settings other = others.get(random.nextInt(others.size()));
                plan(
                        at,
                        new SettingsChanged(other, random.nextBoolean() ? change(at) : NO_CHANGE),
                        null);
            }
            if (settings.discovery() == DecisionApi.Discovery.ON_REQUEST
                    && random.nextInt(300) == 0) {
                plan(at, new ListFailed(), null);
            }
        }
        while (!plan.isEmpty()) {
            step(plan.poll());
        }
        requests.forEach((id, q) -> check(q.over, id + " got no final answer"));
    }

    private ServerList change(long at) {
        long id = 1 + random.nextLong(nextServer - 1);
        ServerState state =
                switch (random.nextInt(6)) {
                    case 0 -> ServerState.DRAINING;
                    case 1 -> ServerState.GONE;
                    default -> ServerState.UP;
                };
        if (random.nextInt(3) == 0) {
            id = nextServer++;
            state = ServerState.UP;
        }
        long started =
                state == ServerState.UP && random.nextBoolean()
                        ? at - random.nextLong(3_000_000)
                        : 0;
        return new ServerList(ListScope.CHANGES, List.of(Node.server(id, state, started)));
    }

    private void plan(long at, Event event, Attempt attempt) {
        plan.add(new Planned(at, planned++, event, attempt));
    }

    private void step(Planned next) {
        node.now = next.at;
        requests.forEach(
                (id, q) ->
                        check(
                                q.over || node.now <= q.giveUpAt + q.taken.rules().answerSlack(),
                                id + " is overdue"));
        Event event = next.event;
        if (event instanceof AttemptEnded e) {
            if (next.attempt.ended != null) {
                return;
            }
            next.attempt.ended = e.result();
            Request q = next.attempt.request;
            boolean over = q.over || e.result() == Result.SERVED;
            q.over = over;
            event =
                    new AttemptEnded(
                            e.id(),
                            e.attempt(),
                            e.server(),
                            e.result(),
                            node.now - next.attempt.sentAt,
                            over,
                            e.report());
        } else if (event instanceof ClientGone e && requests.containsKey(e.id())) {
            requests.get(e.id()).over = true;
        } else if (event instanceof RequestArrived e) {
            // Planned by the number of a class of the first settings: it is one of those that are
            // in force.
            RequestArrived arrives =
                    new RequestArrived(
                            e.id(),
                            e.requestClass() % settings.classes().size(),
                            e.giveUpAt(),
                            e.clientRepeat(),
                            e.key());
            requests.put(e.id(), new Request(settings, arrives));
            event = arrives;
        } else if (event instanceof ServerList e) {
            e.servers().forEach(this::told);
        } else if (event instanceof SettingsChanged e) {
            settings = e.settings();
            settingsChanges++;
            e.servers().servers().forEach(this::told);
        }
        take(node.on(event));
    }

    private void told(ListedServer s) {
        if (s.state() == ServerState.UP) {
            toldToStop.remove(s.id());
        } else {
            toldToStop.putIfAbsent(s.id(), node.now);
        }
        if (s.startedAt() > startedAt.getOrDefault(s.id(), 0L)) {
            startedAt.put(s.id(), s.startedAt());
            coldSends.put(s.id(), new ArrayList<>());
        }
    }

    private void take(List<Action> actions) {
        for (Action action : actions) {
            if (action instanceof Send a) {
                sent(a);
            } else if (action instanceof Refuse a) {
                Request q = requests.get(a.id());
                check(mayRefuse(q), a.id() + " was refused though it may have run");
                ended(a.id(), q);
            } else if (action instanceof Fail a) {
                ended(a.id(), requests.get(a.id()));
            } else if (action instanceof Cancel a) {
                check(
                        requests.get(a.id()).taken.limits().cancel(),
                        a.id() + " may not be cancelled");
                Attempt attempt = requests.get(a.id()).attempts.get(a.attempt());
                plan(
                        node.now + random.nextLong(2_000),
                        outcome(a.id(), attempt, Result.CANCELLED, node.now - attempt.sentAt),
                        attempt);
            } else if (action instanceof Probe a) {
                check(settings.limits().probes(), "probes are not allowed");
                Result result = random.nextInt(10) == 0 ? Result.CONNECT_FAILED : Result.SERVED;
                long wait = random.nextInt(10) == 0 ? 40_000 : 500;
                plan(node.now + wait, new ProbeEnded(a.server(), result, wait, report()), null);
            } else if (action instanceof SetTimer a) {
                check(a.delay() > 0, "a timer in the past");
                if (!requests.values().stream().allMatch(q -> q.over) || !plan.isEmpty()) {
                    plan(node.now + a.delay(), new TimerFired(a.token()), null);
                }
            } else if (action instanceof Subscribe) {
                check(
                        settings.discovery() == DecisionApi.Discovery.ON_REQUEST,
                        "nobody is to be asked");
            }
        }
    }

    private LoadReport report() {
        return new LoadReport(0, 0, random.nextDouble(), Double.NaN, Double.NaN);
    }

    private void ended(String id, Request q) {
        check(!q.over, id + " got a second final answer");
        check(node.now <= q.giveUpAt + q.taken.rules().answerSlack(), id + " was answered late");
        q.over = true;
        finals++;
    }

    private static boolean mayRefuse(Request q) {
        return q.type.repeat() == Repeat.SAFE
                || q.attempts.stream().noneMatch(Attempt::mayHaveRun)
                || (q.type.repeat() == Repeat.KEYED && q.type.group() == Group.ALL);
    }

    private void sent(Send send) {
        Request q = requests.get(send.id());
        check(!q.over, send.id() + " was sent after its end");
        check(
                q.attempts.size() < q.taken.limits().maxAttempts(),
                send.id() + " was sent too often");
        check(
                q.attempts.stream().noneMatch(a -> a.ended == null),
                send.id() + " has two attempts out");
        for (Attempt earlier : q.attempts) {
            if (!earlier.mayHaveRun()) {
                continue;
            }
            check(q.type.repeat() != Repeat.UNSAFE, send.id() + " may have run and was sent again");
            if (q.type.repeat() == Repeat.KEYED) {
                check(
                        q.type.group() == Group.ALL || earlier.server % 2 == send.server() % 2,
                        send.id() + " was sent again outside its group");
                check(
                        node.now <= earlier.sentAt + q.type.window(),
                        send.id() + " was sent again past its window");
            }
        }
        Long told = toldToStop.get(send.server());
        check(
                told == null || node.now <= told + settings.rules().drainGrace(),
                "sent to a server that drains");
        cold(send);
        again += q.attempts.isEmpty() ? 0 : 1;
        sends++;
        Attempt attempt = new Attempt(q, q.attempts.size(), send.server(), node.now);
        q.attempts.add(attempt);
        long left = q.giveUpAt - node.now;
        long limit = send.timeout() == 0 ? left : Math.min(send.timeout(), left);
        Result result = Result.SERVED;
        // One after the other, as a server of one core does: what a cold one can do is reckoned
        // from that.
        // Served side by side all took as long as one, and the module's time for a request was too
        // short.
        long begins = Math.max(node.now, freeAt.getOrDefault(send.server(), 0L));
        long wait = begins - node.now + SERVICE / 2 + random.nextLong(SERVICE);
        freeAt.put(send.server(), node.now + wait);
        switch (random.nextInt(40)) {
            case 0 -> result = Result.ERROR;
            case 1 -> result = Result.RESET;
            case 2 -> result = Result.REJECTED;
            case 3 -> result = Result.CONNECT_FAILED;
            case 4, 5 -> wait = Long.MAX_VALUE;
            default -> {}
        }
        if (wait >= limit) {
            result = Result.TIMED_OUT;
            wait = Math.max(0, limit);
        }
        plan(node.now + wait, outcome(send.id(), attempt, result, wait), attempt);
    }

    private Event outcome(String id, Attempt attempt, Result result, long elapsed) {
        return new AttemptEnded(
                id, attempt.number, attempt.server, result, elapsed, false, report());
    }

    /**
     * Rule 4, as a budget for this node: its part of what tips a server over; one send is always
     * allowed.
     */
    private void cold(Send send) {
        long started = startedAt.getOrDefault(send.server(), 0L);
        long age = node.now - started;
        if (started == 0 || age >= settings.rules().coldFor()) {
            return;
        }
        List<Long> sent = coldSends.get(send.server());
        sent.add(node.now);
        long inSpan =
                sent.stream().filter(at -> at > node.now - settings.rules().fallAfter()).count();
        double warmth =
                settings.rules().coldFrom()
                        + (1 - settings.rules().coldFrom()) * age / settings.rules().coldFor();
        double budget =
                settings.rules().tipMultiple()
                        * warmth
                        * settings.rules().fallAfter()
                        / SERVICE
                        / settings.nodes();
        check(inSpan <= Math.max(1, budget), "a cold server was sent " + inSpan + " of " + budget);
    }

    private static void check(boolean holds, String message) {
        if (!holds) {
            throw new AssertionError(message);
        }
    }
}
