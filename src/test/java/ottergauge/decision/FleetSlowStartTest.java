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
 * Cold servers under the sum of what all nodes send, each of which knows only its own sends: twenty
 * to thirty modules on made-up time before servers of one core, some of which start anew while the
 * fleet is busy.
 */
class FleetSlowStartTest {
    private static final long MS = TestNode.MS;
    private static final long SECOND = 1000 * MS;
    private static final int SERVERS = 12;
    private static final int COLD = 3;
    private static final long STARTS = 8 * SECOND;
    private static final long LENGTH = 20 * SECOND;

    private record Due(long at, long order, Runnable what) {}

    private static final class Server {
        long freeAt;
        int holds;
        long startedAt = -LENGTH;
        final Deque<Long> sends = new ArrayDeque<>();
        String over;
    }

    private final PriorityQueue<Due> queue =
            new PriorityQueue<>(Comparator.comparingLong(Due::at).thenComparingLong(Due::order));
    private final List<TestNode> nodes = new ArrayList<>();
    private final Map<Long, Server> servers = new HashMap<>();
    private SplittableRandom random;
    private ServiceRules rules;
    private long service;
    private long from;
    private long now;
    private long order;
    private int served;
    private int asked;

    private void at(long when, Runnable what) {
        queue.add(new Due(when, order++, what));
    }

    private void tell(TestNode node, DecisionEvent event) {
        node.now = now;
        for (DecisionAction action : node.on(event)) {
            if (action instanceof SendAttempt send) {
                send(node, send);
            } else if (action instanceof SendProbe probe) {
                Server s = servers.get(probe.server());
                at(
                        now + MS,
                        () ->
                                tell(
                                        node,
                                        new ProbeEnded(
                                                probe.server(),
                                                AttemptResult.SERVED,
                                                MS,
                                                load(s))));
            } else if (action instanceof SetTimer timer) {
                at(now + timer.delay(), () -> tell(node, new TimerFired(timer.token())));
            }
        }
    }

    private static LoadReport load(Server s) {
        return new LoadReport(
                s.holds, Math.max(0, s.holds - 1), s.holds > 0 ? 0.8 : 0.1, Double.NaN, Double.NaN);
    }

    private double warmth(Server s) {
        double age = Math.min(1, (now - s.startedAt) / (double) rules.slowStartDuration());
        return rules.initialCapacityRatio() + (1 - rules.initialCapacityRatio()) * age;
    }

    private void send(TestNode node, SendAttempt send) {
        Server s = servers.get(send.server());
        count(s);
        long began = now;
        s.holds++;
        long begins = Math.max(now, s.freeAt);
        long ends =
                begins
                        + (long)
                                ((service / 2 + random.nextLong(service))
                                        / Math.min(1, 1.2 * warmth(s)));
        boolean late = ends > now + send.timeout();
        // What is overdue before it begins is no work.
        s.freeAt = begins > now + send.timeout() ? s.freeAt : ends;
        at(
                Math.min(ends, now + send.timeout()),
                () -> {
                    s.holds--;
                    AttemptResult result = late ? AttemptResult.TIMED_OUT : AttemptResult.SERVED;
                    served += late ? 0 : 1;
                    tell(
                            node,
                            new AttemptEnded(
                                    send.id(),
                                    0,
                                    send.server(),
                                    result,
                                    now - began,
                                    !late,
                                    late ? LoadReport.NONE : load(s)));
                });
    }

    // The strict rule: beyond what is allowed only two roots of it and two are put down to chance.
    private void count(Server s) {
        if (now - s.startedAt >= rules.slowStartDuration()) {
            return;
        }
        s.sends.add(now);
        while (s.sends.peekFirst() <= now - rules.overloadWindow()) {
            s.sends.removeFirst();
        }
        double allowed = rules.overloadMultiple() * warmth(s) * rules.overloadWindow() / service;
        if (s.sends.size() > allowed + 2 * Math.sqrt(allowed) + 2) {
            s.over =
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
                "heard".equals(loads) ? TestSettings.hearing(1) : new TestSettings();
        settings.probes |= "probed".equals(loads);
        return settings;
    }

    static Stream<Arguments> fleets() {
        List<Arguments> all = new ArrayList<>();
        for (String loads : List.of("none", "probed", "heard")) {
            for (int count : List.of(20, 30)) {
                for (double load : List.of(0.4, 0.7, 1.2)) {
                    for (long each : List.of(100 * MS, 400 * MS)) {
                        for (long seed = 1; seed <= 3; seed++) {
                            all.add(Arguments.of(loads, count, load, each, seed));
                        }
                    }
                }
            }
        }
        return all.stream();
    }

    @ParameterizedTest
    @MethodSource("fleets")
    void aColdServerGetsNoMoreThanItMayFromAllNodesTogether(
            String loads, int count, double load, long time, long seed) {
        service = time;
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
        from = nodes.get(0).now;
        now = from;
        nodes.forEach(
                node -> {
                    node.now = now;
                    node.servers(SERVERS);
                });
        double perNode = load * SERVERS / service / count;
        for (int i = 0; i < count; i++) {
            // Uneven: some nodes have several times as much as others.
            double share = perNode * (i % 4 == 0 ? 2.2 : 0.6);
            arrive(nodes.get(i), "n" + i + "-", 0, share);
        }
        for (long id = 1; id <= COLD; id++) {
            long cold = id;
            at(from + STARTS + id * 100 * MS, () -> starts(cold));
        }
        while (!queue.isEmpty() && queue.peek().at() < from + LENGTH) {
            Due due = queue.poll();
            now = due.at();
            due.what().run();
        }
        for (long id = 1; id <= COLD; id++) {
            assertTrue(servers.get(id).over == null, servers.get(id).over);
            assertTrue(!servers.get(id).sends.isEmpty(), "it was used at all");
        }
        assertTrue(
                served > 0.25 * Math.min(1, 1 / load) * asked,
                served + " of " + asked + " were served");
    }

    private void starts(long id) {
        Server s = servers.get(id);
        s.startedAt = now;
        s.freeAt = now;
        nodes.forEach(
                node ->
                        tell(
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
                    asked++;
                    tell(
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
