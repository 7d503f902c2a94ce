// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.eventlog;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ottergauge.lab.eventlog.EventLog.Ask;
import ottergauge.lab.eventlog.EventLog.Attempt;
import ottergauge.lab.eventlog.EventLog.Effect;
import ottergauge.lab.eventlog.EventLog.Event;
import ottergauge.lab.eventlog.EventLog.ServerLifetime;
import ottergauge.lab.eventlog.EventLog.Try;
import ottergauge.lab.scenario.Scenario;
import ottergauge.lab.scenario.Scenario.RequestClass;

/**
 * Decides by the ledger alone whether the rules were kept: each request that a running node took
 * gets one genuine answer in time, no effect happens twice, a draining server gets nothing new, no
 * cold server is pushed over. It knows nothing of how a node works.
 */
public final class RuleChecker {

    /** The rules, and what a play may show beside them. */
    public enum Rule {
        ANSWER,
        EFFECT,
        DRAIN,
        COLD,
        GONE,
        CRASH
    }

    /** One break of a rule, in words. */
    public record Violation(Rule rule, long at, String what) {}

    // Time limits on sockets are longer by this much; and an answer may come so late that it only
    // earns
    // nothing.
    private static final long SOCKET_SLACK = 50_000;
    private static final long LOST_AFTER = 500_000;
    // Two ends of a connection do not learn of its end at one instant.
    private static final long OVERLAP = 5_000;
    private static final int REFUSED = 503;
    private static final int TOO_MANY = 429;
    // An attempt that begins so long after its client has left is for nobody; the first cases are
    // put down to
    // messages that crossed.
    private static final long GONE_AFTER = 100_000;
    private static final int GONE_CASES = 2;
    // New connections of a node that is told to end go on being taken for so long.
    private static final long READ_TWICE = 2;

    private final Scenario scenario;
    private final EventLog eventLog;
    private final List<Violation> broken = new ArrayList<>();

    private RuleChecker(Scenario scenario, EventLog eventLog) {
        this.scenario = scenario;
        this.eventLog = eventLog;
    }

    /** All breaks of the rules in a play that has ended at {@code end}. */
    public static List<Violation> check(Scenario scenario, EventLog eventLog, long end) {
        RuleChecker ruleChecker = new RuleChecker(scenario, eventLog);
        ruleChecker.answers(end);
        ruleChecker.effects();
        ruleChecker.drains();
        ruleChecker.gone();
        for (ServerLifetime life : eventLog.lifetimes.values()) {
            if (life.fellAt >= 0) {
                ruleChecker.fault(Rule.COLD, life.fellAt, life.server + " was pushed over");
            }
        }
        for (Event each : eventLog.events) {
            if (each.what().startsWith("crashed")) {
                ruleChecker.fault(Rule.CRASH, each.at(), each.who() + " " + each.what());
            }
        }
        for (Event each : eventLog.unknownRequests) {
            ruleChecker.fault(Rule.EFFECT, each.at(), each.who() + " got " + each.what());
        }
        return ruleChecker.broken;
    }

    private void fault(Rule rule, long at, String what) {
        broken.add(new Violation(rule, at, what));
    }

    private void answers(long end) {
        Map<Integer, List<long[]>> away = away(end);
        for (Try each : eventLog.tries.values()) {
            long due = each.sentAt + each.waits + LOST_AFTER + SOCKET_SLACK;
            if (each.sentAt < 0 || due > end || each.leftAt >= 0) {
                continue;
            }
            boolean ran =
                    away.getOrDefault(each.node, List.of()).stream()
                            .noneMatch(span -> span[0] <= due && span[1] >= each.sentAt);
            if (!each.genuine) {
                fault(
                        Rule.ANSWER,
                        each.answeredAt,
                        each.id + " was served with what no server made for it");
            } else if (each.answers > 1) {
                fault(
                        Rule.ANSWER,
                        each.answeredAt,
                        each.id + " was answered " + each.answers + " times");
            } else if (ran && each.status == EventLog.BROKEN) {
                fault(
                        Rule.ANSWER,
                        each.sentAt,
                        each.id
                                + " was taken by n"
                                + each.node
                                + " and its connection ended with no answer");
            } else if (ran && (each.answeredAt < 0 || each.answeredAt > due)) {
                fault(
                        Rule.ANSWER,
                        each.sentAt,
                        each.id
                                + " was taken by n"
                                + each.node
                                + " and "
                                + (each.answeredAt < 0
                                        ? "never answered"
                                        : "answered "
                                                + (each.answeredAt - each.sentAt) / 1000
                                                + " ms later, of "
                                                + each.waits / 1000));
            }
        }
    }

    // When each node did not run, or its clients could not reach it: what it had taken then is
    // excused.
    private Map<Integer, List<long[]>> away(long end) {
        Map<Integer, List<long[]>> spans = new HashMap<>();
        for (Event each : eventLog.events) {
            if (!each.who().startsWith("n") || !Character.isDigit(each.who().charAt(1))) {
                continue;
            }
            List<long[]> own =
                    spans.computeIfAbsent(
                            Integer.parseInt(each.who().substring(1)), node -> new ArrayList<>());
            String what = each.what();
            if (what.startsWith("is killed")
                    || what.startsWith("is stopped")
                    || what.startsWith("crashed")
                    || what.startsWith("cannot be reached")) {
                own.add(new long[] {each.at(), end});
            } else if (!own.isEmpty()
                    && (what.startsWith("is started")
                            || what.startsWith("goes on")
                            || what.startsWith("can be reached"))) {
                own.get(own.size() - 1)[1] = each.at();
            }
        }
        return spans;
    }

    private void effects() {
        Map<Ask, List<Effect>> byAsk = new HashMap<>();
        for (Effect effect : eventLog.effects) {
            byAsk.computeIfAbsent(effect.attempt().clientAttempt.ask, ask -> new ArrayList<>()).add(effect);
        }
        for (Try each : eventLog.tries.values()) {
            RequestClass type = scenario.classes().get(each.ask.requestClass);
            overlaps(each);
            if (type.effect() == Scenario.Effect.UNSAFE) {
                repeated(each);
            }
        }
        byAsk.forEach(
                (ask, effects) -> {
                    if (scenario.classes().get(ask.requestClass).effect() != Scenario.Effect.SAFE) {
                        twice(ask, effects);
                    }
                });
    }

    private void overlaps(Try each) {
        for (int i = 1; i < each.attempts.size(); i++) {
            Attempt before = each.attempts.get(i - 1);
            long at = each.attempts.get(i).at;
            if (before.endedAt < 0 || before.endedAt > at + OVERLAP) {
                fault(
                        Rule.EFFECT,
                        at,
                        each.id
                                + " was sent to "
                                + each.attempts.get(i).server
                                + " while it was out at "
                                + before.server);
            }
        }
    }

    // What may have run and is unsafe to repeat goes out once.
    private void repeated(Try each) {
        for (int i = 1; i < each.attempts.size(); i++) {
            Attempt before = each.attempts.get(i - 1);
            if (before.end.equals("served")
                    || before.end.equals("error")
                    || before.end.equals("answer lost")
                    || before.end.startsWith("given up")) {
                fault(
                        Rule.EFFECT,
                        each.attempts.get(i).at,
                        each.id
                                + ", unsafe to repeat, was sent again to "
                                + each.attempts.get(i).server
                                + " after "
                                + before.server
                                + ": "
                                + before.end);
            }
        }
    }

    private void twice(Ask ask, List<Effect> effects) {
        Map<Try, Long> byTry = new HashMap<>();
        effects.forEach(effect -> byTry.merge(effect.attempt().clientAttempt, 1L, Long::sum));
        byTry.forEach(
                (each, times) -> {
                    if (times >= READ_TWICE) {
                        fault(
                                Rule.EFFECT,
                                each.sentAt,
                                each.id + " had its effect " + times + " times");
                    }
                    if ((each.status == REFUSED || each.status == TOO_MANY)
                            && scenario.classes().get(ask.requestClass).effect()
                                    == Scenario.Effect.UNSAFE) {
                        fault(
                                Rule.EFFECT,
                                each.answeredAt,
                                each.id + " was refused and had its effect");
                    }
                });
    }

    private void drains() {
        long grace = scenario.platform().drainGrace() + SOCKET_SLACK;
        for (Attempt each : eventLog.attempts) {
            ServerLifetime life = eventLog.lifetimes.get(each.server);
            Long told = life == null ? null : life.toldAt.get(each.node);
            if (told != null && each.firstByteAt > told + grace) {
                fault(
                        Rule.DRAIN,
                        each.firstByteAt,
                        each.clientAttempt.id
                                + " went to "
                                + each.server
                                + " "
                                + (each.firstByteAt - told) / 1000
                                + " ms after n"
                                + each.node
                                + " knew that it drains");
            }
        }
    }

    /** The attempts that began when their client had been away for long enough to be seen. */
    public static List<Attempt> forNobody(EventLog eventLog) {
        return eventLog.attempts.stream()
                .filter(
                        each ->
                                each.clientAttempt.leftAt >= 0
                                        && each.firstByteAt > each.clientAttempt.leftAt + GONE_AFTER)
                .toList();
    }

    private void gone() {
        forNobody(eventLog).stream()
                .skip(GONE_CASES)
                .forEach(
                        each ->
                                fault(
                                        Rule.GONE,
                                        each.firstByteAt,
                                        each.clientAttempt.id
                                                + " went to "
                                                + each.server
                                                + " "
                                                + (each.firstByteAt - each.clientAttempt.leftAt) / 1000
                                                + " ms after its client had left n"
                                                + each.node));
    }

    /**
     * Keyed requests that ran twice because their clients tried again: no node's fault, but
     * counted.
     */
    public static long secondRuns(Scenario scenario, EventLog eventLog) {
        Map<String, Integer> runs = new HashMap<>();
        for (Effect effect : eventLog.effects) {
            if (scenario.classes().get(effect.attempt().clientAttempt.ask.requestClass).effect()
                    == Scenario.Effect.KEYED) {
                runs.merge(effect.key(), 1, Integer::sum);
            }
        }
        return runs.values().stream().filter(times -> times > 1).count();
    }
}
