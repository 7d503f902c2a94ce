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
    void aLimitIsSetByCongestionAndDecreasesOncePerServiceTime() {
        ConcurrencyLimit concurrencyLimit = new ConcurrencyLimit();
        assertTrue(concurrencyLimit.permits(0, 1_000, SERVICE));
        concurrencyLimit.recordCongestion(1_000_000, 10, SERVICE, 4);
        concurrencyLimit.recordCongestion(1_050_000, 10, SERVICE, 4);
        assertEquals(7, concurrencyLimit.limit(), 1e-9);
        assertFalse(concurrencyLimit.permits(1_060_000, 7, SERVICE));
        concurrencyLimit.recordCongestion(1_100_000, 10, SERVICE, 4);
        assertEquals(4.9, concurrencyLimit.limit(), 1e-9);
    }

    @Test
    void aLimitIncreasesWhileItIsReachedAndIsDroppedOtherwise() {
        ConcurrencyLimit concurrencyLimit = new ConcurrencyLimit();
        concurrencyLimit.recordCongestion(1_000_000, 4, SERVICE, 2);
        concurrencyLimit.recordSuccess(0, 2);
        assertEquals(2.8, concurrencyLimit.limit(), 1e-9);
        concurrencyLimit.recordSuccess(2, 2);
        assertEquals(2.8 + 1 / (2 * 2.8), concurrencyLimit.limit(), 1e-9);
        for (int i = 0; i < 100; i++) {
            concurrencyLimit.recordSuccess((int) concurrencyLimit.limit(), 1);
        }
        concurrencyLimit.recordSuccess(0, 1);
        assertFalse(concurrencyLimit.isBinding());
    }

    @Test
    void aLimitUnderOneIsARate() {
        ConcurrencyLimit concurrencyLimit = new ConcurrencyLimit();
        for (int i = 1; i <= 4; i++) {
            concurrencyLimit.recordCongestion(i * 1_000_000L, 1, SERVICE, 50);
        }
        double limit = concurrencyLimit.limit();
        assertTrue(limit > 0.2 && limit < 0.3, "limit " + limit);
        concurrencyLimit.recordSend(10_000_000);
        assertFalse(
                concurrencyLimit.permits(
                        10_000_000 + (long) (SERVICE / limit) - 1_000, 0, SERVICE));
        assertTrue(
                concurrencyLimit.permits(
                        10_000_000 + (long) (SERVICE / limit) + 1_000, 0, SERVICE));
        assertFalse(concurrencyLimit.permits(20_000_000, 1, SERVICE));
    }

    /**
     * The number of attempts that all nodes together send to one server must not grow with the
     * number of nodes that share it.
     */
    @ParameterizedTest
    @ValueSource(ints = {4, 16, 64, 256})
    void theSumOfAllLimitsConvergesNearTheCapacityOfTheServer(int nodes) {
        ConcurrencyLimit[] concurrencyLimits = new ConcurrencyLimit[nodes];
        int[] outstanding = new int[nodes];
        long[] ejectedUntil = new long[nodes];
        for (int n = 0; n < nodes; n++) {
            concurrencyLimits[n] = new ConcurrencyLimit();
        }
        SplittableRandom random = new SplittableRandom(nodes);
        int capacity = 8;
        int inFlight = 0;
        long offered = 0;
        long rejected = 0;
        Deque<long[]> running = new ArrayDeque<>();
        for (long now = 0; now < 60_000_000; now += 1_000) {
            while (!running.isEmpty() && running.peek()[0] <= now) {
                int n = (int) running.poll()[1];
                inFlight--;
                outstanding[n]--;
                concurrencyLimits[n].recordSuccess(outstanding[n], nodes);
            }
            int n = random.nextInt(nodes);
            if (now >= ejectedUntil[n]
                    && concurrencyLimits[n].permits(now, outstanding[n], SERVICE)) {
                concurrencyLimits[n].recordSend(now);
                boolean counts = now > 20_000_000;
                offered += counts ? 1 : 0;
                if (inFlight < capacity) {
                    inFlight++;
                    outstanding[n]++;
                    running.add(new long[] {now + (long) SERVICE, n});
                } else {
                    rejected += counts ? 1 : 0;
                    // The decision engine ejects a server that rejected an attempt in the same way.
                    ejectedUntil[n] = now + (long) SERVICE / 2;
                    concurrencyLimits[n].recordCongestion(now, outstanding[n] + 1, SERVICE, nodes);
                }
            }
        }
        double served = (offered - rejected) / 40.0;
        assertTrue(
                rejected < 0.35 * offered,
                nodes + " nodes: " + rejected + " of " + offered + " rejected");
        assertTrue(
                served > 0.7 * capacity * 10,
                nodes + " nodes: " + served + " served per second of 80");
    }

    @Test
    void theBudgetIsAFractionOfFirstAttemptsAndIsUsedUpWhenAllFail() {
        RetryBudget budget = new RetryBudget(2);
        int retries = 0;
        for (int i = 0; i < 1_000; i++) {
            budget.recordFirstAttempt(0);
            if (budget.permitsRetry(0)) {
                budget.recordRetry(0);
                retries++;
            }
        }
        assertTrue(retries >= 100 && retries <= 111, "retries " + retries);
        assertFalse(budget.permitsRetry(0));
        budget.recordFirstAttempt(1);
        assertFalse(
                budget.permitsRetry(1), "one class has used up the budget that all classes share");
    }

    @Test
    void oneFailingServerOfTwelveDoesNotUseUpTheBudget() {
        RetryBudget budget = new RetryBudget(1);
        for (int i = 0; i < 10_000; i++) {
            budget.recordFirstAttempt(0);
            if (i % 12 == 0) {
                assertTrue(budget.permitsRetry(0), "budget used up at request " + i);
                budget.recordRetry(0);
            }
        }
    }

    private static LoadReport report(double inFlight, double busy, double rate) {
        return new LoadReport(inFlight, Double.NaN, busy, Double.NaN, rate);
    }

    @Test
    void reportsThatDoNotChangeBetweenProbesAreStale() {
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
     * Guards against false positives: the reports of a server that nodes keep full or leave idle
     * are equal but not stale.
     */
    @Test
    void equalReportsOfAFullOrIdleServerAreNotStale() {
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
