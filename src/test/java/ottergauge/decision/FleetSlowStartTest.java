// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionAction;
import ottergauge.decision.api.DecisionAction.SendAttempt;
import ottergauge.decision.api.DecisionAction.SendProbe;
import ottergauge.decision.api.DecisionAction.SetTimer;
import ottergauge.decision.api.DecisionEvent;
import ottergauge.decision.api.DecisionEvent.AttemptEnded;
import ottergauge.decision.api.DecisionEvent.EndpointUpdate;
import ottergauge.decision.api.DecisionEvent.ProbeEnded;
import ottergauge.decision.api.DecisionEvent.RequestArrived;
import ottergauge.decision.api.DecisionEvent.TimerFired;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.LoadReport;
import ottergauge.decision.api.ServiceRules;
import ottergauge.decision.api.UpdateScope;

/**
 * Tests the slow start of servers under the requests of all nodes together, where each node knows
 * only its own attempts. Twenty to thirty decision engines run on simulated time against servers
 * with one core each, and some of the servers restart while the fleet is busy.
 */
class FleetSlowStartTest {
    private static final long MS = TestNode.MS;
    private static final long SECOND = 1000 * MS;
    private static final int SERVERS = 12;
    private static final int RESTARTED_SERVERS = 3;
    private static final long RESTART_TIME = 8 * SECOND;
    private static final long DURATION = 20 * SECOND;

    private record ScheduledTask(long at, long order, Runnable task) {}

    private static final class Server {
        long freeAt;
        int inFlight;
        long startedAt = -DURATION;
        final Deque<Long> sends = new ArrayDeque<>();
        String violation;
    }

    private final PriorityQueue<ScheduledTask> tasks =
            new PriorityQueue<>(
                    Comparator.comparingLong(ScheduledTask::at)
                            .thenComparingLong(ScheduledTask::order));
    private final List<TestNode> nodes = new ArrayList<>();
    private final Map<Long, Server> servers = new HashMap<>();
    private SplittableRandom random;
    private ServiceRules rules;
    private long service;
    private long origin;
    private long now;
    private long order;
    private int served;
    private int requests;

    private void at(long when, Runnable task) {
        tasks.add(new ScheduledTask(when, order++, task));
    }

    private void process(TestNode node, DecisionEvent event) {
        node.now = now;
        for (DecisionAction action : node.deliver(event)) {
            if (action instanceof SendAttempt send) {
                send(node, send);
            } else if (action instanceof SendProbe probe) {
                Server s = servers.get(probe.server());
                at(
                        now + MS,
                        () ->
                                process(
                                        node,
                                        new ProbeEnded(
                                                probe.server(),
                                                AttemptResult.SERVED,
                                                MS,
                                                load(s))));
            } else if (action instanceof SetTimer timer) {
                at(now + timer.delay(), () -> process(node, new TimerFired(timer.token())));
            }
        }
    }

    private static LoadReport load(Server s) {
        return new LoadReport(
                s.inFlight,
                Math.max(0, s.inFlight - 1),
                s.inFlight > 0 ? 0.8 : 0.1,
                Double.NaN,
                Double.NaN);
    }

    private double capacityRatio(Server s) {
        double age = Math.min(1, (now - s.startedAt) / (double) rules.slowStartDuration());
        return rules.initialCapacityRatio() + (1 - rules.initialCapacityRatio()) * age;
    }

    private void send(TestNode node, SendAttempt send) {
        Server s = servers.get(send.server());
        count(s);
        long sentAt = now;
        s.inFlight++;
        long serviceStart = Math.max(now, s.freeAt);
        long serviceEnd =
                serviceStart
                        + (long)
                                ((service / 2 + random.nextLong(service))
                                        / Math.min(1, 1.2 * capacityRatio(s)));
        boolean timedOut = serviceEnd > now + send.timeout();
        // A request that times out before its execution starts uses no service time.
        s.freeAt = serviceStart > now + send.timeout() ? s.freeAt : serviceEnd;
        at(
                Math.min(serviceEnd, now + send.timeout()),
                () -> {
                    s.inFlight--;
                    AttemptResult result =
                            timedOut ? AttemptResult.TIMED_OUT : AttemptResult.SERVED;
                    served += timedOut ? 0 : 1;
                    process(
                            node,
                            new AttemptEnded(
                                    send.id(),
                                    0,
                                    send.server(),
                                    result,
                                    now - sentAt,
                                    !timedOut,
                                    timedOut ? LoadReport.NONE : load(s)));
                });
    }

    // The allowed number may only be exceeded by twice its square root plus two, for random
    // variation.
    private void count(Server s) {
        if (now - s.startedAt >= rules.slowStartDuration()) {
            return;
        }
        s.sends.add(now);
        while (s.sends.peekFirst() <= now - rules.overloadWindow()) {
            s.sends.removeFirst();
        }
        double allowed =
                rules.overloadMultiple() * capacityRatio(s) * rules.overloadWindow() / service;
        if (s.sends.size() > allowed + 2 * Math.sqrt(allowed) + 2) {
            s.violation =
                    s.sends.size()
                            + " requests in "
                            + rules.overloadWindow() / MS
                            + " ms where "
                            + allowed
                            + " are allowed, "
                            + (now - s.startedAt) / MS
                            + " ms after its start";
        }
    }

    private static TestSettings settings(String loads) {
        TestSettings settings =
                "reported".equals(loads) ? TestSettings.withPassiveReports(1) : new TestSettings();
        settings.probes |= "probed".equals(loads);
        return settings;
    }

    static Stream<Arguments> fleets() {
        List<Arguments> all = new ArrayList<>();
        for (String loads : List.of("none", "probed", "reported")) {
            for (int count : List.of(20, 30)) {
                for (double load : List.of(0.4, 0.7, 1.2)) {
                    for (long serviceTime : List.of(100 * MS, 400 * MS)) {
                        for (long seed = 1; seed <= 3; seed++) {
                            all.add(Arguments.of(loads, count, load, serviceTime, seed));
                        }
                    }
                }
            }
        }
        return all.stream();
    }

    @ParameterizedTest
    @MethodSource("fleets")
    void allNodesTogetherDoNotOverloadAServerInSlowStart(
            String loads, int count, double load, long serviceTimeMicros, long seed) {
        service = serviceTimeMicros;
        random = new SplittableRandom(seed);
        for (int i = 0; i < count; i++) {
            TestSettings settings = settings(loads);
            settings.nodes = count;
            settings.node = i;
            nodes.add(new TestNode(settings.build(), seed * 1000 + i));
        }
        rules = nodes.get(0).settings.rules();
        for (long id = 1; id <= SERVERS; id++) {
            servers.put(id, new Server());
        }
        origin = nodes.get(0).now;
        now = origin;
        nodes.forEach(
                node -> {
                    node.now = now;
                    node.servers(SERVERS);
                });
        double perNode = load * SERVERS / service / count;
        for (int i = 0; i < count; i++) {
            // Some nodes get several times as many requests as others.
            double share = perNode * (i % 4 == 0 ? 2.2 : 0.6);
            arrive(nodes.get(i), "n" + i + "-", 0, share);
        }
        for (long id = 1; id <= RESTARTED_SERVERS; id++) {
            long serverId = id;
            at(origin + RESTART_TIME + id * 100 * MS, () -> restart(serverId));
        }
        while (!tasks.isEmpty() && tasks.peek().at() < origin + DURATION) {
            ScheduledTask scheduledTask = tasks.poll();
            now = scheduledTask.at();
            scheduledTask.task().run();
        }
        for (long id = 1; id <= RESTARTED_SERVERS; id++) {
            assertTrue(servers.get(id).violation == null, servers.get(id).violation);
            assertTrue(!servers.get(id).sends.isEmpty(), "the restarted server got no request");
        }
        assertTrue(
                served > 0.25 * Math.min(1, 1 / load) * requests,
                served + " of " + requests + " were served");
    }

    private void restart(long id) {
        Server s = servers.get(id);
        s.startedAt = now;
        s.freeAt = now;
        nodes.forEach(
                node ->
                        process(
                                node,
                                new EndpointUpdate(
                                        UpdateScope.INCREMENTAL,
                                        List.of(TestNode.server(id, EndpointState.UP, now)))));
    }

    private void arrive(TestNode node, String prefix, int number, double share) {
        long gap = (long) (-Math.log(1 - random.nextDouble()) / share);
        at(
                now + gap,
                () -> {
                    requests++;
                    process(
                            node,
                            new RequestArrived(
                                    prefix + number,
                                    0,
                                    now + node.settings.requestClasses().get(0).deadline(),
                                    false,
                                    0));
                    arrive(node, prefix, number + 1, share);
                });
    }
}
