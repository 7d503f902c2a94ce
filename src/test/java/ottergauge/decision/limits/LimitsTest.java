// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ottergauge.decision.api.LoadReport;

class LimitsTest {

    private static final double SERVICE = 100_000;

    @Test
    void aPaceBindsOnlyAfterCongestionAndIsCutOnceInAServiceTime() {
        ConcurrencyLimit pace = new ConcurrencyLimit();
        assertTrue(pace.permits(0, 1_000, SERVICE));
        pace.recordCongestion(1_000_000, 10, SERVICE, 4);
        pace.recordCongestion(1_050_000, 10, SERVICE, 4);
        assertEquals(7, pace.limit(), 1e-9);
        assertFalse(pace.permits(1_060_000, 7, SERVICE));
        pace.recordCongestion(1_100_000, 10, SERVICE, 4);
        assertEquals(4.9, pace.limit(), 1e-9);
    }

    @Test
    void aPaceGrowsWhileItIsUsedAndIsForgottenWhenItIsNot() {
        ConcurrencyLimit pace = new ConcurrencyLimit();
        pace.recordCongestion(1_000_000, 4, SERVICE, 2);
        pace.recordSuccess(0, 2);
        assertEquals(2.8, pace.limit(), 1e-9);
        pace.recordSuccess(2, 2);
        assertEquals(2.8 + 1 / (2 * 2.8), pace.limit(), 1e-9);
        for (int i = 0; i < 100; i++) {
            pace.recordSuccess((int) pace.limit(), 1);
        }
        pace.recordSuccess(0, 1);
        assertFalse(pace.isBinding());
    }

    @Test
    void aLimitUnderOneIsAPace() {
        ConcurrencyLimit pace = new ConcurrencyLimit();
        for (int i = 1; i <= 4; i++) {
            pace.recordCongestion(i * 1_000_000L, 1, SERVICE, 50);
        }
        double limit = pace.limit();
        assertTrue(limit > 0.2 && limit < 0.3, "limit " + limit);
        pace.recordSend(10_000_000);
        assertFalse(pace.permits(10_000_000 + (long) (SERVICE / limit) - 1_000, 0, SERVICE));
        assertTrue(pace.permits(10_000_000 + (long) (SERVICE / limit) + 1_000, 0, SERVICE));
        assertFalse(pace.permits(20_000_000, 1, SERVICE));
    }

    /**
     * The sum over nodes: what is let out at one server must not grow with the number of those who
     * share it.
     */
    @ParameterizedTest
    @ValueSource(ints = {4, 16, 64, 256})
    void theSumOfAllPacesSettlesNearWhatTheServerTakes(int nodes) {
        ConcurrencyLimit[] paces = new ConcurrencyLimit[nodes];
        int[] out = new int[nodes];
        long[] barred = new long[nodes];
        for (int n = 0; n < nodes; n++) {
            paces[n] = new ConcurrencyLimit();
        }
        SplittableRandom random = new SplittableRandom(nodes);
        int holds = 8;
        int inFlight = 0;
        long offered = 0;
        long away = 0;
        Deque<long[]> running = new ArrayDeque<>();
        for (long now = 0; now < 60_000_000; now += 1_000) {
            while (!running.isEmpty() && running.peek()[0] <= now) {
                int n = (int) running.poll()[1];
                inFlight--;
                out[n]--;
                paces[n].recordSuccess(out[n], nodes);
            }
            int n = random.nextInt(nodes);
            if (now >= barred[n] && paces[n].permits(now, out[n], SERVICE)) {
                paces[n].recordSend(now);
                boolean counts = now > 20_000_000;
                offered += counts ? 1 : 0;
                if (inFlight < holds) {
                    inFlight++;
                    out[n]++;
                    running.add(new long[] {now + (long) SERVICE, n});
                } else {
                    away += counts ? 1 : 0;
                    // As the module does with what turned something away.
                    barred[n] = now + (long) SERVICE / 2;
                    paces[n].recordCongestion(now, out[n] + 1, SERVICE, nodes);
                }
            }
        }
        double served = (offered - away) / 40.0;
        assertTrue(
                away < 0.35 * offered,
                nodes + " nodes: " + away + " of " + offered + " turned away");
        assertTrue(served > 0.7 * holds * 10, nodes + " nodes: " + served + " a second of 80");
    }

    @Test
    void theBudgetIsAPartOfFirstTriesAndRunsDryWhenAllFail() {
        RetryBudget budget = new RetryBudget(2);
        int again = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.recordFirstAttempt(0);
            if (budget.permitsRetry(0)) {
                budget.recordRetry(0);
                again++;
            }
        }
        assertTrue(again >= 100 && again <= 111, "further tries " + again);
        assertFalse(budget.permitsRetry(0));
        budget.recordFirstAttempt(1);
        assertFalse(budget.permitsRetry(1), "what one class has used up is gone for all");
    }

    @Test
    void oneFailingServerOfTwelveNeverEmptiesTheBudget() {
        RetryBudget budget = new RetryBudget(1);
        for (int i = 0; i < 10_000; i++) {
            budget.recordFirstAttempt(0);
            if (i % 12 == 0) {
                assertTrue(budget.permitsRetry(0), "empty after " + i);
                budget.recordRetry(0);
            }
        }
    }

    private static LoadReport report(double inFlight, double busy, double rate) {
        return new LoadReport(inFlight, Double.NaN, busy, Double.NaN, rate);
    }

    @Test
    void reportsThatStayAsTheyAreWhenAskedAgainAreStale() {
        ReportFreshness renewed = new ReportFreshness();
        ReportFreshness old = new ReportFreshness();
        for (int i = 0; i < 20; i++) {
            renewed.recordPair(
                    report(3, Double.NaN, 17 + i), report(3, Double.NaN, 18 + i), 50_000, SERVICE);
            old.recordPair(report(3, Double.NaN, 17), report(3, Double.NaN, 17), 50_000, SERVICE);
        }
        assertFalse(renewed.isStale());
        assertTrue(old.isStale());
    }

    /**
     * Guards against a server that nodes keep full, or leave idle, being taken for one that tells
     * old loads.
     */
    @Test
    void aServerThatStandsStillProvesNothing() {
        ReportFreshness freshness = new ReportFreshness();
        for (int i = 0; i < 50; i++) {
            freshness.recordPair(
                    report(2, 0.999, Double.NaN), report(2, 0.999, Double.NaN), 50_000, SERVICE);
            freshness.recordPair(report(0, 0, 0), report(0, 0, 0), 50_000, SERVICE);
            freshness.recordPair(
                    report(3, Double.NaN, 17), report(3, Double.NaN, 17), 150_000, SERVICE);
        }
        assertFalse(freshness.isStale());
    }
}
