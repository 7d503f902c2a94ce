// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.eventlog;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import ottergauge.lab.eventlog.RuleChecker.Rule;
import ottergauge.lab.eventlog.EventLog.Ask;
import ottergauge.lab.eventlog.EventLog.Attempt;
import ottergauge.lab.eventlog.EventLog.Effect;
import ottergauge.lab.eventlog.EventLog.ServerLifetime;
import ottergauge.lab.eventlog.EventLog.Try;
import ottergauge.lab.scenario.Scenario;
import ottergauge.lab.scenario.ScenarioException;
import ottergauge.lab.scenario.ScenarioReader;

/**
 * A checker that cannot fail proves nothing: each rule broken in a ledger, and the same ledger
 * unbroken.
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

    private Try sent(int requestClass) {
        Ask ask = new Ask(eventLog.asks.size(), requestClass, -1, 1_000 * MS, 50 * MS);
        Try each = new Try(ask, "id-" + eventLog.tries.size(), 1, 600 * MS);
        ask.tries.add(each);
        each.sentAt = 1_000 * MS;
        eventLog.asks.add(ask);
        eventLog.tries.put(each.id, each);
        return each;
    }

    private static void answered(Try each, int status, long at) {
        each.status = status;
        each.answeredAt = at;
        each.answers = 1;
    }

    private Attempt attempt(Try each, String server, long at, long end, String how) {
        Attempt attempt = new Attempt(each, 1, server, at, at);
        attempt.endedAt = end;
        attempt.end = how;
        each.attempts.add(attempt);
        eventLog.attempts.add(attempt);
        return attempt;
    }

    private List<Rule> broken() {
        return RuleChecker.check(scenario, eventLog, END).stream().map(RuleChecker.Violation::rule).toList();
    }

    private void expect(Rule rule, Try each, Consumer<Try> wrong) {
        assertEquals(List.of(), broken());
        wrong.accept(each);
        assertEquals(List.of(rule), broken());
    }

    private Try served(int requestClass) {
        Try each = sent(requestClass);
        answered(each, 200, 1_200 * MS);
        Attempt attempt = attempt(each, "s1", 1_010 * MS, 1_190 * MS, "served");
        eventLog.effects.add(new Effect(1_100 * MS, each.id, "all", "s1", attempt));
        return each;
    }

    @Test
    void anAnswerMuchTooLateOrNeverIsLost() {
        expect(Rule.ANSWER, served(0), each -> each.answeredAt = 2_200 * MS);
        answered(eventLog.tries.get("id-0"), 200, 2_100 * MS);
        expect(Rule.ANSWER, served(0), each -> answered(each, EventLog.OPEN, -1));
    }

    @Test
    void whatANodeHadTakenWhenItDiedIsExcused() {
        Try each = served(0);
        answered(each, EventLog.BROKEN, 1_200 * MS);
        assertEquals(List.of(Rule.ANSWER), broken());
        eventLog.addEvent(1_190 * MS, "n1", "is killed");
        eventLog.addEvent(3_000 * MS, "n1", "is started");
        assertEquals(List.of(), broken());
    }

    @Test
    void twoAnswersOrAnotherRequestsAnswerAreNoAnswer() {
        expect(Rule.ANSWER, served(0), each -> each.answers = 2);
        eventLog.tries.get("id-0").answers = 1;
        expect(Rule.ANSWER, served(0), each -> each.genuine = false);
    }

    @Test
    void whatMayHaveRunAndIsUnsafeIsSentOnce() {
        expect(Rule.EFFECT, served(0), each -> attempt(each, "s2", 1_192 * MS, 1_198 * MS, "full"));
    }

    @Test
    void whatWasTurnedAwayMayBeSentAgain() {
        Try each = sent(0);
        answered(each, 200, 1_200 * MS);
        attempt(each, "s1", 1_010 * MS, 1_011 * MS, "full");
        attempt(each, "s2", 1_012 * MS, 1_190 * MS, "served");
        assertEquals(List.of(), broken());
    }

    @Test
    void twoCopiesAreNotOutAtOnce() {
        Try each = sent(1);
        answered(each, 200, 1_200 * MS);
        attempt(each, "s1", 1_010 * MS, 1_100 * MS, "given up");
        expect(Rule.EFFECT, each, again -> attempt(again, "s2", 1_050 * MS, 1_190 * MS, "served"));
    }

    @Test
    void anEffectTwiceByOneTryOrBehindARefusalIsCaught() {
        Try each = served(1);
        expect(
                Rule.EFFECT,
                each,
                again ->
                        eventLog.effects.add(
                                new Effect(
                                        1_150 * MS,
                                        again.id,
                                        "all",
                                        "s2",
                                        eventLog.attempts.get(0))));
        eventLog.effects.remove(1);
        expect(Rule.EFFECT, served(0), again -> again.status = 503);
    }

    @Test
    void aDrainingServerGetsNothingNew() {
        ServerLifetime life = new ServerLifetime("s1", "a", 0, false);
        eventLog.lifetimes.put("s1", life);
        expect(Rule.DRAIN, served(0), each -> life.toldAt.put(1, 700 * MS));
    }

    @Test
    void attemptsForClientsThatHaveLeftAreCaughtFromTheThirdOn() {
        for (int i = 0; i < 3; i++) {
            Try each = sent(0);
            each.leftAt = 1_050 * MS;
            attempt(each, "s1", 1_100 * MS, 1_200 * MS, "served");
        }
        assertEquals(List.of(), broken(), "within the time that an end takes to be seen");
        for (int i = 0; i < 2; i++) {
            Try each = sent(0);
            each.leftAt = 1_050 * MS;
            attempt(each, "s1", 1_151 * MS, 1_200 * MS, "served");
        }
        assertEquals(List.of(), broken());
        Try third = sent(0);
        third.leftAt = 1_050 * MS;
        attempt(third, "s1", 1_300 * MS, 1_400 * MS, "served");
        assertEquals(List.of(Rule.GONE), broken());
    }

    @Test
    void aColdServerPushedOverAndACrashAreCaught() {
        ServerLifetime life = new ServerLifetime("s1", "a", 0, true);
        eventLog.lifetimes.put("s1", life);
        expect(Rule.COLD, served(0), each -> life.fellAt = 5_000 * MS);
        life.fellAt = -1;
        expect(
                Rule.CRASH,
                served(0),
                each -> eventLog.addEvent(6_000 * MS, "n2", "crashed with exit code 3"));
    }

    @Test
    void whatNoClientSentIsCaught() {
        expect(
                Rule.EFFECT,
                served(0),
                each ->
                        eventLog.unknownRequests.add(
                                new EventLog.Event(0, "s1", "a request that no client sent")));
    }
}
