// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
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
import ottergauge.decision.api.DecisionEvent.DiscoveryFailed;
import ottergauge.decision.api.DecisionEvent.EndpointUpdate;
import ottergauge.decision.api.DecisionEvent.ProbeEnded;
import ottergauge.decision.api.DecisionEvent.RequestArrived;
import ottergauge.decision.api.DecisionEvent.SettingsChanged;
import ottergauge.decision.api.DecisionEvent.TimerFired;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.api.DeduplicationScope;
import ottergauge.decision.api.DiscoveryMode;
import ottergauge.decision.api.Endpoint;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.Idempotency;
import ottergauge.decision.api.LoadReport;
import ottergauge.decision.api.RequestClass;
import ottergauge.decision.api.UpdateScope;

/**
 * A random but legal history of events for one module, which checks the four rules at every action.
 */
final class History {
    private static final int SERVERS = 8;
    private static final long SERVICE = 100_000;
    private static final EndpointUpdate NO_CHANGE =
            new EndpointUpdate(UpdateScope.INCREMENTAL, List.of());

    private record Planned(long at, long number, DecisionEvent event, Attempt attempt) {}

    private static final class Attempt {
        final Request request;
        final int number;
        final long server;
        final long sentAt;
        AttemptResult ended;

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
        final DecisionSettings taken;

        final RequestClass type;
        final long giveUpAt;
        final List<Attempt> attempts = new ArrayList<>();
        boolean over;

        Request(DecisionSettings taken, RequestArrived event) {
            this.taken = taken;
            type = taken.requestClasses().get(event.requestClass());
            giveUpAt = event.giveUpAt();
        }
    }

    final TestNode node;
    int sends;
    int finals;
    int again;
    int settingsChanges;

    /** The longest time from one arrival to the next. */
    int mostGap = 60_000;

    private DecisionSettings settings;
    private final List<DecisionSettings> others;
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
    History(TestSettings with, long seed, List<DecisionSettings> others) {
        settings = with.build();
        this.others = others;
        random = new SplittableRandom(seed);
        node = new TestNode(settings, seed);
    }

    void run(int arrivals) {
        take(node.servers(SERVERS));
        long at = node.now;
        for (int i = 0; i < arrivals; i++) {
            at += random.nextLong(mostGap);
            int type = random.nextInt(settings.requestClasses().size());
            long left =
                    settings.requestClasses().get(type).deadline()
                            * (random.nextInt(4) == 0 ? 1 : 2)
                            / 2;
            plan(
                    at,
                    new RequestArrived(
                            "q" + i, type, at + left, random.nextInt(10) == 0, random.nextInt(5)),
                    null);
            if (random.nextInt(20) == 0) {
                plan(at + random.nextLong(left), new ClientDisconnected("q" + i), null);
            }
            if (random.nextInt(60) == 0) {
                plan(at, change(at), null);
            }
            if (!others.isEmpty() && random.nextInt(40) == 0) {
                DecisionSettings other = others.get(random.nextInt(others.size()));
                plan(
                        at,
                        new SettingsChanged(other, random.nextBoolean() ? change(at) : NO_CHANGE),
                        null);
            }
            if (settings.discoveryMode() == DiscoveryMode.POLL && random.nextInt(300) == 0) {
                plan(at, new DiscoveryFailed(), null);
            }
        }
        while (!plan.isEmpty()) {
            step(plan.poll());
        }
        requests.forEach((id, q) -> check(q.over, id + " got no final answer"));
    }

    private EndpointUpdate change(long at) {
        long id = 1 + random.nextLong(nextServer - 1);
        EndpointState state =
                switch (random.nextInt(6)) {
                    case 0 -> EndpointState.DRAINING;
                    case 1 -> EndpointState.REMOVED;
                    default -> EndpointState.UP;
                };
        if (random.nextInt(3) == 0) {
            id = nextServer++;
            state = EndpointState.UP;
        }
        long started =
                state == EndpointState.UP && random.nextBoolean()
                        ? at - random.nextLong(3_000_000)
                        : 0;
        return new EndpointUpdate(
                UpdateScope.INCREMENTAL, List.of(TestNode.server(id, state, started)));
    }

    private void plan(long at, DecisionEvent event, Attempt attempt) {
        plan.add(new Planned(at, planned++, event, attempt));
    }

    private void step(Planned next) {
        node.now = next.at;
        requests.forEach(
                (id, q) ->
                        check(
                                q.over
                                        || node.now
                                                <= q.giveUpAt + q.taken.rules().responseTolerance(),
                                id + " is overdue"));
        DecisionEvent event = next.event;
        if (event instanceof AttemptEnded e) {
            if (next.attempt.ended != null) {
                return;
            }
            next.attempt.ended = e.result();
            Request q = next.attempt.request;
            boolean over = q.over || e.result() == AttemptResult.SERVED;
            q.over = over;
            event =
                    new AttemptEnded(
                            e.id(),
                            e.attempt(),
                            e.server(),
                            e.result(),
                            node.now - next.attempt.sentAt,
                            over,
                            e.loadReport());
        } else if (event instanceof ClientDisconnected e && requests.containsKey(e.id())) {
            requests.get(e.id()).over = true;
        } else if (event instanceof RequestArrived e) {
            // Planned by the number of a class of the first settings: it is one of those that are
            // in force.
            RequestArrived arrives =
                    new RequestArrived(
                            e.id(),
                            e.requestClass() % settings.requestClasses().size(),
                            e.giveUpAt(),
                            e.clientRetry(),
                            e.affinityKey());
            requests.put(e.id(), new Request(settings, arrives));
            event = arrives;
        } else if (event instanceof EndpointUpdate e) {
            e.endpoints().forEach(this::told);
        } else if (event instanceof SettingsChanged e) {
            settings = e.settings();
            settingsChanges++;
            e.endpoints().endpoints().forEach(this::told);
        }
        take(node.on(event));
    }

    private void told(Endpoint s) {
        if (s.state() == EndpointState.UP) {
            toldToStop.remove(s.id());
        } else {
            toldToStop.putIfAbsent(s.id(), node.now);
        }
        if (s.startedAt() > startedAt.getOrDefault(s.id(), 0L)) {
            startedAt.put(s.id(), s.startedAt());
            coldSends.put(s.id(), new ArrayList<>());
        }
    }

    private void take(List<DecisionAction> actions) {
        for (DecisionAction action : actions) {
            if (action instanceof SendAttempt a) {
                sent(a);
            } else if (action instanceof RejectRequest a) {
                Request q = requests.get(a.id());
                check(mayRefuse(q), a.id() + " was refused though it may have run");
                ended(a.id(), q);
            } else if (action instanceof FailRequest a) {
                ended(a.id(), requests.get(a.id()));
            } else if (action instanceof CancelAttempt a) {
                check(
                        requests.get(a.id()).taken.limits().cancellationAllowed(),
                        a.id() + " may not be cancelled");
                Attempt attempt = requests.get(a.id()).attempts.get(a.attempt());
                plan(
                        node.now + random.nextLong(2_000),
                        outcome(
                                a.id(),
                                attempt,
                                AttemptResult.CANCELLED,
                                node.now - attempt.sentAt),
                        attempt);
            } else if (action instanceof SendProbe a) {
                check(settings.limits().probesAllowed(), "probes are not allowed");
                AttemptResult result =
                        random.nextInt(10) == 0
                                ? AttemptResult.CONNECT_FAILED
                                : AttemptResult.SERVED;
                long wait = random.nextInt(10) == 0 ? 40_000 : 500;
                plan(node.now + wait, new ProbeEnded(a.server(), result, wait, report()), null);
            } else if (action instanceof SetTimer a) {
                check(a.delay() > 0, "a timer in the past");
                if (!requests.values().stream().allMatch(q -> q.over) || !plan.isEmpty()) {
                    plan(node.now + a.delay(), new TimerFired(a.token()), null);
                }
            } else if (action instanceof WatchEndpoints) {
                check(settings.discoveryMode() == DiscoveryMode.POLL, "nobody is to be asked");
            }
        }
    }

    private LoadReport report() {
        return new LoadReport(0, 0, random.nextDouble(), Double.NaN, Double.NaN);
    }

    private void ended(String id, Request q) {
        check(!q.over, id + " got a second final answer");
        check(
                node.now <= q.giveUpAt + q.taken.rules().responseTolerance(),
                id + " was answered late");
        q.over = true;
        finals++;
    }

    private static boolean mayRefuse(Request q) {
        return q.type.idempotency() == Idempotency.IDEMPOTENT
                || q.attempts.stream().noneMatch(Attempt::mayHaveRun)
                || (q.type.idempotency() == Idempotency.KEYED
                        && q.type.deduplicationScope() == DeduplicationScope.FLEET);
    }

    private void sent(SendAttempt send) {
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
            check(
                    q.type.idempotency() != Idempotency.NON_IDEMPOTENT,
                    send.id() + " may have run and was sent again");
            if (q.type.idempotency() == Idempotency.KEYED) {
                check(
                        q.type.deduplicationScope() == DeduplicationScope.FLEET
                                || earlier.server % 2 == send.server() % 2,
                        send.id() + " was sent again outside its group");
                check(
                        node.now <= earlier.sentAt + q.type.deduplicationWindow(),
                        send.id() + " was sent again past its window");
            }
        }
        Long told = toldToStop.get(send.server());
        check(
                told == null || node.now <= told + settings.rules().drainGracePeriod(),
                "sent to a server that drains");
        cold(send);
        again += q.attempts.isEmpty() ? 0 : 1;
        sends++;
        Attempt attempt = new Attempt(q, q.attempts.size(), send.server(), node.now);
        q.attempts.add(attempt);
        long left = q.giveUpAt - node.now;
        long limit = send.timeout() == 0 ? left : Math.min(send.timeout(), left);
        AttemptResult result = AttemptResult.SERVED;
        // One after the other, as a server of one core does: what a cold one can do is reckoned
        // from that.
        // Served side by side all took as long as one, and the module's time for a request was too
        // short.
        long begins = Math.max(node.now, freeAt.getOrDefault(send.server(), 0L));
        long wait = begins - node.now + SERVICE / 2 + random.nextLong(SERVICE);
        freeAt.put(send.server(), node.now + wait);
        switch (random.nextInt(40)) {
            case 0 -> result = AttemptResult.ERROR;
            case 1 -> result = AttemptResult.RESET;
            case 2 -> result = AttemptResult.REJECTED;
            case 3 -> result = AttemptResult.CONNECT_FAILED;
            case 4, 5 -> wait = Long.MAX_VALUE;
            default -> {}
        }
        if (wait >= limit) {
            result = AttemptResult.TIMED_OUT;
            wait = Math.max(0, limit);
        }
        plan(node.now + wait, outcome(send.id(), attempt, result, wait), attempt);
    }

    private DecisionEvent outcome(String id, Attempt attempt, AttemptResult result, long elapsed) {
        return new AttemptEnded(
                id, attempt.number, attempt.server, result, elapsed, false, report());
    }

    /**
     * Rule 4, as a budget for this node: its part of what tips a server over; one send is always
     * allowed.
     */
    private void cold(SendAttempt send) {
        long started = startedAt.getOrDefault(send.server(), 0L);
        long age = node.now - started;
        if (started == 0 || age >= settings.rules().slowStartDuration()) {
            return;
        }
        List<Long> sent = coldSends.get(send.server());
        sent.add(node.now);
        long inSpan =
                sent.stream()
                        .filter(at -> at > node.now - settings.rules().overloadWindow())
                        .count();
        double warmth =
                settings.rules().initialCapacityRatio()
                        + (1 - settings.rules().initialCapacityRatio())
                                * age
                                / settings.rules().slowStartDuration();
        double budget =
                settings.rules().overloadMultiple()
                        * warmth
                        * settings.rules().overloadWindow()
                        / SERVICE
                        / settings.nodeCount();
        check(inSpan <= Math.max(1, budget), "a cold server was sent " + inSpan + " of " + budget);
    }

    private static void check(boolean holds, String message) {
        if (!holds) {
            throw new AssertionError(message);
        }
    }
}
