// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.eventlog;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ottergauge.lab.eventlog.EventLog.ClientAttempt;
import ottergauge.lab.eventlog.EventLog.ClientRequest;
import ottergauge.lab.eventlog.EventLog.Effect;
import ottergauge.lab.eventlog.EventLog.Event;
import ottergauge.lab.eventlog.EventLog.ServerAttempt;
import ottergauge.lab.eventlog.EventLog.ServerLifetime;
import ottergauge.lab.scenario.Scenario;
import ottergauge.lab.scenario.Scenario.RequestClass;

/**
 * Checks the rules using the event log only: each request that a running node accepted gets one
 * matching response in time, no effect happens twice, a draining server gets no new requests, no
 * cold server collapses under load, no server gets a request whose client has disconnected, and no
 * node crashes. The checker knows nothing of how a node works.
 */
public final class RuleChecker {

    /** The rules, and further failures that a run may show. */
    public enum Rule {
        ANSWER,
        EFFECT,
        DRAIN,
        COLD,
        GONE,
        CRASH
    }

    /** One violation of a rule with a description. */
    public record Violation(Rule rule, long at, String what) {}

    // Tolerances in microseconds. SOCKET_SLACK is added to each time limit, since the times are
    // measured at sockets. A response that arrives up to LATE_LIMIT after the client's timeout is
    // worth nothing, but violates no rule.
    private static final long SOCKET_SLACK = 50_000;
    private static final long LATE_LIMIT = 500_000;
    // The server may notice the end of a connection later than the node, which then may already
    // have sent the next attempt. Two attempts may overlap by this time, in microseconds.
    private static final long OVERLAP_TOLERANCE = 5_000;
    private static final int REFUSED = 503;
    private static final int TOO_MANY_REQUESTS = 429;
    // A node that sends a request to a server this long (in microseconds) after the client has
    // closed its connection does work for nobody. The first two cases of a run are tolerated,
    // because the client's close and the node's request may have crossed on the network.
    private static final long ABANDON_TOLERANCE = 100_000;
    private static final int ALLOWED_ABANDONED_ATTEMPTS = 2;
    // From this number of effects of one client attempt on, the rule that no effect happens twice
    // is violated.
    private static final long DUPLICATE_EFFECTS = 2;

    private final Scenario scenario;
    private final EventLog eventLog;
    private final List<Violation> violations = new ArrayList<>();

    private RuleChecker(Scenario scenario, EventLog eventLog) {
        this.scenario = scenario;
        this.eventLog = eventLog;
    }

    /**
     * Returns all violations of the rules. A response that may still arrive in time after {@code
     * end}, in microseconds, is not checked.
     */
    public static List<Violation> check(Scenario scenario, EventLog eventLog, long end) {
        RuleChecker ruleChecker = new RuleChecker(scenario, eventLog);
        ruleChecker.responses(end);
        ruleChecker.effects();
        ruleChecker.drains();
        ruleChecker.abandonedRequests();
        for (ServerLifetime lifetime : eventLog.lifetimes.values()) {
            if (lifetime.collapsedAt >= 0) {
                ruleChecker.addViolation(
                        Rule.COLD,
                        lifetime.collapsedAt,
                        lifetime.server + " collapsed under load while cold");
            }
        }
        for (Event each : eventLog.events) {
            if (each.what().startsWith("crashed")) {
                ruleChecker.addViolation(Rule.CRASH, each.at(), each.who() + " " + each.what());
            }
        }
        for (Event each : eventLog.unknownRequests) {
            ruleChecker.addViolation(Rule.EFFECT, each.at(), each.who() + " got " + each.what());
        }
        return ruleChecker.violations;
    }

    private void addViolation(Rule rule, long at, String what) {
        violations.add(new Violation(rule, at, what));
    }

    private void responses(long end) {
        Map<Integer, List<long[]>> unavailableSpans = unavailableSpans(end);
        for (ClientAttempt each : eventLog.clientAttempts.values()) {
            long due = each.sentAt + each.timeout + LATE_LIMIT + SOCKET_SLACK;
            if (each.sentAt < 0 || due > end || each.clientClosedAt >= 0) {
                continue;
            }
            boolean nodeRan =
                    unavailableSpans.getOrDefault(each.node, List.of()).stream()
                            .noneMatch(span -> span[0] <= due && span[1] >= each.sentAt);
            if (!each.bodyMatches) {
                addViolation(
                        Rule.ANSWER,
                        each.answeredAt,
                        each.id + " got a response that no server created for it");
            } else if (each.responses > 1) {
                addViolation(
                        Rule.ANSWER,
                        each.answeredAt,
                        each.id + " was answered " + each.responses + " times");
            } else if (nodeRan && each.status == EventLog.CONNECTION_LOST) {
                addViolation(
                        Rule.ANSWER,
                        each.sentAt,
                        each.id
                                + " was accepted by n"
                                + each.node
                                + " and its connection ended without a response");
            } else if (nodeRan && (each.answeredAt < 0 || each.answeredAt > due)) {
                addViolation(
                        Rule.ANSWER,
                        each.sentAt,
                        each.id
                                + " was accepted by n"
                                + each.node
                                + " and "
                                + (each.answeredAt < 0
                                        ? "never got a response"
                                        : "got a response "
                                                + (each.answeredAt - each.sentAt) / 1000
                                                + " ms later; timeout in ms: "
                                                + each.timeout / 1000));
            }
        }
    }

    // Returns the spans in which each node did not run or was unreachable for its clients. A node
    // does not have to answer a request whose time from sending to its limit overlaps such a span.
    // SIGTERM starts no span: a node that is told to end goes on accepting new connections for a
    // while, and has to answer the requests on them.
    private Map<Integer, List<long[]>> unavailableSpans(long end) {
        Map<Integer, List<long[]>> spans = new HashMap<>();
        for (Event each : eventLog.events) {
            if (!each.who().startsWith("n") || !Character.isDigit(each.who().charAt(1))) {
                continue;
            }
            List<long[]> nodeSpans =
                    spans.computeIfAbsent(
                            Integer.parseInt(each.who().substring(1)), node -> new ArrayList<>());
            String what = each.what();
            if (what.startsWith("is killed")
                    || what.startsWith("is stopped")
                    || what.startsWith("crashed")
                    || what.startsWith("cannot be reached")) {
                nodeSpans.add(new long[] {each.at(), end});
            } else if (!nodeSpans.isEmpty()
                    && (what.startsWith("is started")
                            || what.startsWith("continues")
                            || what.startsWith("can be reached"))) {
                nodeSpans.get(nodeSpans.size() - 1)[1] = each.at();
            }
        }
        return spans;
    }

    private void effects() {
        Map<ClientRequest, List<Effect>> byRequest = new HashMap<>();
        for (Effect effect : eventLog.effects) {
            byRequest
                    .computeIfAbsent(
                            effect.attempt().clientAttempt.request, request -> new ArrayList<>())
                    .add(effect);
        }
        for (ClientAttempt each : eventLog.clientAttempts.values()) {
            RequestClass type = scenario.classes().get(each.request.requestClass);
            overlaps(each);
            if (type.effect() == Scenario.Effect.UNSAFE) {
                unsafeRepeats(each);
            }
        }
        byRequest.forEach(
                (request, effects) -> {
                    if (scenario.classes().get(request.requestClass).effect()
                            != Scenario.Effect.SAFE) {
                        duplicateEffects(request, effects);
                    }
                });
    }

    private void overlaps(ClientAttempt each) {
        for (int i = 1; i < each.serverAttempts.size(); i++) {
            ServerAttempt before = each.serverAttempts.get(i - 1);
            long at = each.serverAttempts.get(i).at;
            if (before.endedAt < 0 || before.endedAt > at + OVERLAP_TOLERANCE) {
                addViolation(
                        Rule.EFFECT,
                        at,
                        each.id
                                + " was sent to "
                                + each.serverAttempts.get(i).server
                                + " while an attempt was in progress at "
                                + before.server);
            }
        }
    }

    // Reports each request that is unsafe to repeat and that a node sent again although a server
    // may have executed it.
    private void unsafeRepeats(ClientAttempt each) {
        for (int i = 1; i < each.serverAttempts.size(); i++) {
            ServerAttempt before = each.serverAttempts.get(i - 1);
            if (before.end.equals("served")
                    || before.end.equals("error")
                    || before.end.equals("answer lost")
                    || before.end.startsWith("given up")) {
                addViolation(
                        Rule.EFFECT,
                        each.serverAttempts.get(i).at,
                        each.id
                                + ", unsafe to repeat, was sent again to "
                                + each.serverAttempts.get(i).server
                                + " after "
                                + before.server
                                + ": "
                                + before.end);
            }
        }
    }

    private void duplicateEffects(ClientRequest request, List<Effect> effects) {
        Map<ClientAttempt, Long> byClientAttempt = new HashMap<>();
        effects.forEach(
                effect -> byClientAttempt.merge(effect.attempt().clientAttempt, 1L, Long::sum));
        byClientAttempt.forEach(
                (each, times) -> {
                    if (times >= DUPLICATE_EFFECTS) {
                        addViolation(
                                Rule.EFFECT,
                                each.sentAt,
                                each.id + " had its effect " + times + " times");
                    }
                    if ((each.status == REFUSED || each.status == TOO_MANY_REQUESTS)
                            && scenario.classes().get(request.requestClass).effect()
                                    == Scenario.Effect.UNSAFE) {
                        addViolation(
                                Rule.EFFECT,
                                each.answeredAt,
                                each.id + " was refused and had its effect");
                    }
                });
    }

    private void drains() {
        long grace = scenario.platform().drainGrace() + SOCKET_SLACK;
        for (ServerAttempt each : eventLog.serverAttempts) {
            ServerLifetime lifetime = eventLog.lifetimes.get(each.server);
            Long knownAt = lifetime == null ? null : lifetime.drainKnownAt.get(each.node);
            if (knownAt != null && each.firstByteAt > knownAt + grace) {
                addViolation(
                        Rule.DRAIN,
                        each.firstByteAt,
                        each.clientAttempt.id
                                + " went to "
                                + each.server
                                + " "
                                + (each.firstByteAt - knownAt) / 1000
                                + " ms after n"
                                + each.node
                                + " learned that it drains");
            }
        }
    }

    /**
     * Returns the server attempts whose first byte arrived more than 100 ms after their client had
     * closed its connection; the node had this time to notice the close.
     */
    public static List<ServerAttempt> attemptsAfterClientClosed(EventLog eventLog) {
        return eventLog.serverAttempts.stream()
                .filter(
                        each ->
                                each.clientAttempt.clientClosedAt >= 0
                                        && each.firstByteAt
                                                > each.clientAttempt.clientClosedAt
                                                        + ABANDON_TOLERANCE)
                .toList();
    }

    private void abandonedRequests() {
        attemptsAfterClientClosed(eventLog).stream()
                .skip(ALLOWED_ABANDONED_ATTEMPTS)
                .forEach(
                        each ->
                                addViolation(
                                        Rule.GONE,
                                        each.firstByteAt,
                                        each.clientAttempt.id
                                                + " went to "
                                                + each.server
                                                + " "
                                                + (each.firstByteAt
                                                                - each.clientAttempt.clientClosedAt)
                                                        / 1000
                                                + " ms after its client had disconnected from n"
                                                + each.node));
    }

    /**
     * Counts the idempotency keys whose effect happened more than once because clients retried. No
     * node is at fault for these.
     */
    public static long secondRuns(Scenario scenario, EventLog eventLog) {
        Map<String, Integer> runs = new HashMap<>();
        for (Effect effect : eventLog.effects) {
            if (scenario.classes().get(effect.attempt().clientAttempt.request.requestClass).effect()
                    == Scenario.Effect.KEYED) {
                runs.merge(effect.key(), 1, Integer::sum);
            }
        }
        return runs.values().stream().filter(times -> times > 1).count();
    }
}
