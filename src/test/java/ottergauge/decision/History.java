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
 * Generates a random but valid sequence of events for one decision engine, and checks the four
 * rules at every action. The rules are about final responses, repeated attempts, draining servers
 * and servers in slow start.
 */
final class History {
    private static final int SERVERS = 8;
    private static final long SERVICE = 100_000;
    private static final EndpointUpdate NO_CHANGE =
            new EndpointUpdate(UpdateScope.INCREMENTAL, List.of());

    private record ScheduledEvent(long at, long number, DecisionEvent event, Attempt attempt) {}

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

        boolean mayHaveBeenExecuted() {
            return ended == null || !ended.neverRan();
        }
    }

    private static final class Request {
        /** The settings that applied at the arrival. They apply until the request is complete. */
        final DecisionSettings settingsAtArrival;

        final RequestClass type;
        final long giveUpAt;
        final List<Attempt> attempts = new ArrayList<>();
        boolean complete;

        Request(DecisionSettings settingsAtArrival, RequestArrived event) {
            this.settingsAtArrival = settingsAtArrival;
            type = settingsAtArrival.requestClasses().get(event.requestClass());
            giveUpAt = event.giveUpAt();
        }
    }

    final TestNode node;
    int sends;
    int finalResponses;
    int retries;
    int settingsChanges;

    /** Maximum time between two successive arrivals, in microseconds. */
    int maxArrivalGap = 60_000;

    private DecisionSettings settings;
    private final List<DecisionSettings> otherSettings;
    private final SplittableRandom random;
    private final PriorityQueue<ScheduledEvent> schedule =
            new PriorityQueue<>(
                    Comparator.comparingLong(ScheduledEvent::at)
                            .thenComparingLong(ScheduledEvent::number));
    private final Map<String, Request> requests = new HashMap<>();
    private final Map<Long, Long> drainingSince = new HashMap<>();
    private final Map<Long, Long> startedAt = new HashMap<>();
    private final Map<Long, List<Long>> slowStartSends = new HashMap<>();
    private final Map<Long, Long> freeAt = new HashMap<>();
    private long scheduledCount;
    private long nextServer = SERVERS + 1;

    History(TestSettings initial, long seed) {
        this(initial, seed, List.of());
    }

    /**
     * Creates a history in which one of the other settings is applied at random instants, alone or
     * together with a change of the endpoint list.
     */
    History(TestSettings initial, long seed, List<DecisionSettings> otherSettings) {
        settings = initial.build();
        this.otherSettings = otherSettings;
        random = new SplittableRandom(seed);
        node = new TestNode(settings, seed);
    }

    void run(int arrivals) {
        process(node.servers(SERVERS));
        long at = node.now;
        for (int i = 0; i < arrivals; i++) {
            at += random.nextLong(maxArrivalGap);
            int type = random.nextInt(settings.requestClasses().size());
            long timeLeft =
                    settings.requestClasses().get(type).deadline()
                            * (random.nextInt(4) == 0 ? 1 : 2)
                            / 2;
            schedule(
                    at,
                    new RequestArrived(
                            "q" + i,
                            type,
                            at + timeLeft,
                            random.nextInt(10) == 0,
                            random.nextInt(5)),
                    null);
            if (random.nextInt(20) == 0) {
                schedule(at + random.nextLong(timeLeft), new ClientDisconnected("q" + i), null);
            }
            if (random.nextInt(60) == 0) {
                schedule(at, randomUpdate(at), null);
            }
            if (!otherSettings.isEmpty() && random.nextInt(40) == 0) {
                DecisionSettings other = otherSettings.get(random.nextInt(otherSettings.size()));
                schedule(
                        at,
                        new SettingsChanged(
                                other, random.nextBoolean() ? randomUpdate(at) : NO_CHANGE),
                        null);
            }
            if (settings.discoveryMode() == DiscoveryMode.POLL && random.nextInt(300) == 0) {
                schedule(at, new DiscoveryFailed(), null);
            }
        }
        while (!schedule.isEmpty()) {
            step(schedule.poll());
        }
        requests.forEach((id, q) -> check(q.complete, id + " got no final response"));
    }

    private EndpointUpdate randomUpdate(long at) {
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

    private void schedule(long at, DecisionEvent event, Attempt attempt) {
        schedule.add(new ScheduledEvent(at, scheduledCount++, event, attempt));
    }

    private void step(ScheduledEvent next) {
        node.now = next.at;
        requests.forEach(
                (id, q) ->
                        check(
                                q.complete
                                        || node.now
                                                <= q.giveUpAt
                                                        + q.settingsAtArrival
                                                                .rules()
                                                                .responseTolerance(),
                                id + " is overdue"));
        DecisionEvent event = next.event;
        if (event instanceof AttemptEnded e) {
            if (next.attempt.ended != null) {
                return;
            }
            next.attempt.ended = e.result();
            Request q = next.attempt.request;
            boolean complete = q.complete || e.result() == AttemptResult.SERVED;
            q.complete = complete;
            event =
                    new AttemptEnded(
                            e.id(),
                            e.attempt(),
                            e.server(),
                            e.result(),
                            node.now - next.attempt.sentAt,
                            complete,
                            e.loadReport());
        } else if (event instanceof ClientDisconnected e && requests.containsKey(e.id())) {
            requests.get(e.id()).complete = true;
        } else if (event instanceof RequestArrived e) {
            // The class index was drawn for the first settings. The modulo maps it to a class of
            // the current settings.
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
            e.endpoints().forEach(this::applyEndpoint);
        } else if (event instanceof SettingsChanged e) {
            settings = e.settings();
            settingsChanges++;
            e.endpoints().endpoints().forEach(this::applyEndpoint);
        }
        process(node.deliver(event));
    }

    private void applyEndpoint(Endpoint s) {
        if (s.state() == EndpointState.UP) {
            drainingSince.remove(s.id());
        } else {
            drainingSince.putIfAbsent(s.id(), node.now);
        }
        if (s.startedAt() > startedAt.getOrDefault(s.id(), 0L)) {
            startedAt.put(s.id(), s.startedAt());
            slowStartSends.put(s.id(), new ArrayList<>());
        }
    }

    private void process(List<DecisionAction> actions) {
        for (DecisionAction action : actions) {
            if (action instanceof SendAttempt a) {
                sent(a);
            } else if (action instanceof RejectRequest a) {
                Request q = requests.get(a.id());
                check(mayReject(q), a.id() + " was rejected although it may have been executed");
                ended(a.id(), q);
            } else if (action instanceof FailRequest a) {
                ended(a.id(), requests.get(a.id()));
            } else if (action instanceof CancelAttempt a) {
                check(
                        requests.get(a.id()).settingsAtArrival.limits().cancellationAllowed(),
                        a.id() + " was cancelled although that is not allowed");
                Attempt attempt = requests.get(a.id()).attempts.get(a.attempt());
                schedule(
                        node.now + random.nextLong(2_000),
                        outcome(
                                a.id(),
                                attempt,
                                AttemptResult.CANCELLED,
                                node.now - attempt.sentAt),
                        attempt);
            } else if (action instanceof SendProbe a) {
                check(
                        settings.limits().probesAllowed(),
                        "a probe was sent although probes are not allowed");
                AttemptResult result =
                        random.nextInt(10) == 0
                                ? AttemptResult.CONNECT_FAILED
                                : AttemptResult.SERVED;
                long wait = random.nextInt(10) == 0 ? 40_000 : 500;
                schedule(node.now + wait, new ProbeEnded(a.server(), result, wait, report()), null);
            } else if (action instanceof SetTimer a) {
                check(a.delay() > 0, "a timer was set in the past");
                if (!requests.values().stream().allMatch(q -> q.complete) || !schedule.isEmpty()) {
                    schedule(node.now + a.delay(), new TimerFired(a.token()), null);
                }
            } else if (action instanceof WatchEndpoints) {
                check(
                        settings.discoveryMode() == DiscoveryMode.POLL,
                        "discovery was polled although updates are pushed");
            }
        }
    }

    private LoadReport report() {
        return new LoadReport(0, 0, random.nextDouble(), Double.NaN, Double.NaN);
    }

    private void ended(String id, Request q) {
        check(!q.complete, id + " got a second final response");
        check(
                node.now <= q.giveUpAt + q.settingsAtArrival.rules().responseTolerance(),
                id + " got its response too late");
        q.complete = true;
        finalResponses++;
    }

    private static boolean mayReject(Request q) {
        return q.type.idempotency() == Idempotency.IDEMPOTENT
                || q.attempts.stream().noneMatch(Attempt::mayHaveBeenExecuted)
                || (q.type.idempotency() == Idempotency.KEYED
                        && q.type.deduplicationScope() == DeduplicationScope.FLEET);
    }

    private void sent(SendAttempt send) {
        Request q = requests.get(send.id());
        check(!q.complete, send.id() + " was sent after it was complete");
        check(
                q.attempts.size() < q.settingsAtArrival.limits().maxAttempts(),
                send.id() + " was sent more often than allowed");
        check(
                q.attempts.stream().noneMatch(a -> a.ended == null),
                send.id() + " has two outstanding attempts");
        for (Attempt earlier : q.attempts) {
            if (!earlier.mayHaveBeenExecuted()) {
                continue;
            }
            check(
                    q.type.idempotency() != Idempotency.NON_IDEMPOTENT,
                    send.id() + " may have been executed and was sent again");
            if (q.type.idempotency() == Idempotency.KEYED) {
                check(
                        q.type.deduplicationScope() == DeduplicationScope.FLEET
                                || earlier.server % 2 == send.server() % 2,
                        send.id() + " was sent again outside its deduplication scope");
                check(
                        node.now <= earlier.sentAt + q.type.deduplicationWindow(),
                        send.id() + " was sent again after its deduplication window");
            }
        }
        Long drainStart = drainingSince.get(send.server());
        check(
                drainStart == null || node.now <= drainStart + settings.rules().drainGracePeriod(),
                "a request was sent to a draining server");
        checkSlowStartBudget(send);
        retries += q.attempts.isEmpty() ? 0 : 1;
        sends++;
        Attempt attempt = new Attempt(q, q.attempts.size(), send.server(), node.now);
        q.attempts.add(attempt);
        long timeLeft = q.giveUpAt - node.now;
        long limit = send.timeout() == 0 ? timeLeft : Math.min(send.timeout(), timeLeft);
        AttemptResult result = AttemptResult.SERVED;
        // Servers execute one request after another, as with one core. The slow-start budget is
        // computed from that. When requests were executed concurrently, each took as long as a
        // single one, and the engine's estimate of the service time was too short.
        long serviceStart = Math.max(node.now, freeAt.getOrDefault(send.server(), 0L));
        long wait = serviceStart - node.now + SERVICE / 2 + random.nextLong(SERVICE);
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
        schedule(node.now + wait, outcome(send.id(), attempt, result, wait), attempt);
    }

    private DecisionEvent outcome(String id, Attempt attempt, AttemptResult result, long elapsed) {
        return new AttemptEnded(
                id, attempt.number, attempt.server, result, elapsed, false, report());
    }

    /**
     * Checks the rule on servers in slow start. This node may send its share of the number of
     * requests per overload window that overloads the server, and it may always send one.
     */
    private void checkSlowStartBudget(SendAttempt send) {
        long started = startedAt.getOrDefault(send.server(), 0L);
        long age = node.now - started;
        if (started == 0 || age >= settings.rules().slowStartDuration()) {
            return;
        }
        List<Long> sent = slowStartSends.get(send.server());
        sent.add(node.now);
        long sendsInWindow =
                sent.stream()
                        .filter(at -> at > node.now - settings.rules().overloadWindow())
                        .count();
        double capacityRatio =
                settings.rules().initialCapacityRatio()
                        + (1 - settings.rules().initialCapacityRatio())
                                * age
                                / settings.rules().slowStartDuration();
        double budget =
                settings.rules().overloadMultiple()
                        * capacityRatio
                        * settings.rules().overloadWindow()
                        / SERVICE
                        / settings.nodeCount();
        check(
                sendsInWindow <= Math.max(1, budget),
                "a server in slow start got " + sendsInWindow + " of " + budget);
    }

    private static void check(boolean holds, String message) {
        if (!holds) {
            throw new AssertionError(message);
        }
    }
}
