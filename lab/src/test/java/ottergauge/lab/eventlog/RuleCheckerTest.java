// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.eventlog;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import ottergauge.lab.eventlog.EventLog.ClientAttempt;
import ottergauge.lab.eventlog.EventLog.ClientRequest;
import ottergauge.lab.eventlog.EventLog.Effect;
import ottergauge.lab.eventlog.EventLog.ServerAttempt;
import ottergauge.lab.eventlog.EventLog.ServerLifetime;
import ottergauge.lab.eventlog.RuleChecker.Rule;
import ottergauge.lab.scenario.Scenario;
import ottergauge.lab.scenario.ScenarioException;
import ottergauge.lab.scenario.ScenarioReader;

/**
 * For each rule: an event log that violates it is reported, and the same log without the violation
 * is not.
 */
class RuleCheckerTest {

    private static final long END = 20_000_000;
    private static final long MS = 1_000;

    private final Scenario scenario = scenario();
    private final EventLog eventLog = new EventLog();

    private static Scenario scenario() {
        try {
            return ScenarioReader.read(
                    "t",
                    """
                    name: t
                    length: 20s
                    nodes: {count: 2}
                    servers: [{count: 2}]
                    classes:
                      - {name: grant, work: 50ms, aim: 400ms, deadline: 1s, effect: unsafe}
                      - {name: pay, work: 50ms, aim: 400ms, deadline: 1s, effect: keyed, window: 3s}
                    load: [{rate: 0.5}]
                    """);
        } catch (ScenarioException e) {
            throw new IllegalStateException(e);
        }
    }

    private ClientAttempt sent(int requestClass) {
        ClientRequest request =
                new ClientRequest(eventLog.requests.size(), requestClass, -1, 1_000 * MS, 50 * MS);
        ClientAttempt each =
                new ClientAttempt(request, "id-" + eventLog.clientAttempts.size(), 1, 600 * MS);
        request.clientAttempts.add(each);
        each.sentAt = 1_000 * MS;
        eventLog.requests.add(request);
        eventLog.clientAttempts.put(each.id, each);
        return each;
    }

    private static void answered(ClientAttempt each, int status, long at) {
        each.status = status;
        each.answeredAt = at;
        each.responses = 1;
    }

    private ServerAttempt attempt(
            ClientAttempt each, String server, long at, long end, String how) {
        ServerAttempt attempt = new ServerAttempt(each, 1, server, at, at);
        attempt.endedAt = end;
        attempt.end = how;
        each.serverAttempts.add(attempt);
        eventLog.serverAttempts.add(attempt);
        return attempt;
    }

    private List<Rule> violations() {
        return RuleChecker.check(scenario, eventLog, END).stream()
                .map(RuleChecker.Violation::rule)
                .toList();
    }

    private void expectViolation(Rule rule, ClientAttempt each, Consumer<ClientAttempt> breakRule) {
        assertEquals(List.of(), violations());
        breakRule.accept(each);
        assertEquals(List.of(rule), violations());
    }

    private ClientAttempt served(int requestClass) {
        ClientAttempt each = sent(requestClass);
        answered(each, 200, 1_200 * MS);
        ServerAttempt attempt = attempt(each, "s1", 1_010 * MS, 1_190 * MS, "served");
        eventLog.effects.add(new Effect(1_100 * MS, each.id, "all", "s1", attempt));
        return each;
    }

    @Test
    void aMissingOrVeryLateResponseIsAViolation() {
        expectViolation(Rule.ANSWER, served(0), each -> each.answeredAt = 2_200 * MS);
        answered(eventLog.clientAttempts.get("id-0"), 200, 2_100 * MS);
        expectViolation(Rule.ANSWER, served(0), each -> answered(each, EventLog.PENDING, -1));
    }

    @Test
    void requestsAtAKilledNodeAreExcused() {
        ClientAttempt each = served(0);
        answered(each, EventLog.CONNECTION_LOST, 1_200 * MS);
        assertEquals(List.of(Rule.ANSWER), violations());
        eventLog.addEvent(1_190 * MS, "n1", "is killed");
        eventLog.addEvent(3_000 * MS, "n1", "is started");
        assertEquals(List.of(), violations());
    }

    @Test
    void twoResponsesOrAnotherRequestsResponseAreAViolation() {
        expectViolation(Rule.ANSWER, served(0), each -> each.responses = 2);
        eventLog.clientAttempts.get("id-0").responses = 1;
        expectViolation(Rule.ANSWER, served(0), each -> each.bodyMatches = false);
    }

    @Test
    void anUnsafeRequestThatMayHaveRunIsNotSentAgain() {
        expectViolation(
                Rule.EFFECT,
                served(0),
                each -> attempt(each, "s2", 1_192 * MS, 1_198 * MS, "full"));
    }

    @Test
    void aRejectedRequestMayBeSentAgain() {
        ClientAttempt each = sent(0);
        answered(each, 200, 1_200 * MS);
        attempt(each, "s1", 1_010 * MS, 1_011 * MS, "full");
        attempt(each, "s2", 1_012 * MS, 1_190 * MS, "served");
        assertEquals(List.of(), violations());
    }

    @Test
    void overlappingAttemptsAreAViolation() {
        ClientAttempt each = sent(1);
        answered(each, 200, 1_200 * MS);
        attempt(each, "s1", 1_010 * MS, 1_100 * MS, "given up");
        expectViolation(
                Rule.EFFECT, each, again -> attempt(again, "s2", 1_050 * MS, 1_190 * MS, "served"));
    }

    @Test
    void aDuplicateEffectOrAnEffectAfterARefusalIsAViolation() {
        ClientAttempt each = served(1);
        expectViolation(
                Rule.EFFECT,
                each,
                again ->
                        eventLog.effects.add(
                                new Effect(
                                        1_150 * MS,
                                        again.id,
                                        "all",
                                        "s2",
                                        eventLog.serverAttempts.get(0))));
        eventLog.effects.remove(1);
        expectViolation(Rule.EFFECT, served(0), again -> again.status = 503);
    }

    @Test
    void aNewRequestToADrainingServerIsAViolation() {
        ServerLifetime lifetime = new ServerLifetime("s1", "a", 0, false);
        eventLog.lifetimes.put("s1", lifetime);
        expectViolation(Rule.DRAIN, served(0), each -> lifetime.drainKnownAt.put(1, 700 * MS));
    }

    @Test
    void attemptsForClosedClientsAreAViolationFromTheThirdOn() {
        for (int i = 0; i < 3; i++) {
            ClientAttempt each = sent(0);
            each.clientClosedAt = 1_050 * MS;
            attempt(each, "s1", 1_100 * MS, 1_200 * MS, "served");
        }
        assertEquals(
                List.of(),
                violations(),
                "within the time in which a node notices the end of a connection");
        for (int i = 0; i < 2; i++) {
            ClientAttempt each = sent(0);
            each.clientClosedAt = 1_050 * MS;
            attempt(each, "s1", 1_151 * MS, 1_200 * MS, "served");
        }
        assertEquals(List.of(), violations());
        ClientAttempt third = sent(0);
        third.clientClosedAt = 1_050 * MS;
        attempt(third, "s1", 1_300 * MS, 1_400 * MS, "served");
        assertEquals(List.of(Rule.GONE), violations());
    }

    @Test
    void aCollapsedColdServerAndACrashAreViolations() {
        ServerLifetime lifetime = new ServerLifetime("s1", "a", 0, true);
        eventLog.lifetimes.put("s1", lifetime);
        expectViolation(Rule.COLD, served(0), each -> lifetime.collapsedAt = 5_000 * MS);
        lifetime.collapsedAt = -1;
        expectViolation(
                Rule.CRASH,
                served(0),
                each -> eventLog.addEvent(6_000 * MS, "n2", "crashed with exit code 3"));
    }

    @Test
    void aRequestThatNoClientSentIsAViolation() {
        expectViolation(
                Rule.EFFECT,
                served(0),
                each ->
                        eventLog.unknownRequests.add(
                                new EventLog.Event(0, "s1", "a request that no client sent")));
    }
}
