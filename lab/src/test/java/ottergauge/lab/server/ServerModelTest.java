// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.sampling.distribution.ZigguratSampler;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.api.Test;
import ottergauge.lab.scenario.Scenario.ServerKind;
import ottergauge.lab.server.ServerModel.Admission;
import ottergauge.lab.server.ServerModel.Job;

class ServerModelTest {

    private static final long FAR = Long.MAX_VALUE / 2;
    private static final long WARM = -FAR;

    private record Due(long at, long order, Runnable task) {}

    private final PriorityQueue<Due> timers =
            new PriorityQueue<>(
                    (a, b) ->
                            a.at() != b.at()
                                    ? Long.compare(a.at(), b.at())
                                    : Long.compare(a.order(), b.order()));
    private long order;
    private long now;

    private ServerModel server(int cores, int queue, long startedAt) {
        return new ServerModel(
                new ServerKind(
                        "std", 1, cores, 1, 0, cores, queue, 0, 0.25, 8_000_000, 100, 0, 0, 0,
                        true),
                1,
                startedAt,
                2,
                1_000_000,
                (at, task) -> timers.add(new Due(at, order++, task)));
    }

    private void advanceTo(long until) {
        while (!timers.isEmpty() && timers.peek().at() <= until) {
            now = timers.peek().at();
            timers.poll().task().run();
        }
        now = until;
    }

    private static Job job(long work, Runnable done) {
        return new Job(work, 0, FAR, () -> {}, done);
    }

    @Test
    void jobsWaitForASlotAndAreRejectedWhenTheQueueIsFull() {
        ServerModel server = server(1, 1, WARM);
        List<String> ended = new ArrayList<>();
        assertEquals(
                Admission.ACCEPTED,
                server.offer(now, job(100, () -> ended.add("first at " + now))));
        assertEquals(
                Admission.ACCEPTED,
                server.offer(now, job(100, () -> ended.add("second at " + now))));
        assertEquals(Admission.FULL, server.offer(now, job(100, () -> ended.add("third"))));
        advanceTo(1_000);
        assertEquals(List.of("first at 100", "second at 200"), ended);
    }

    @Test
    void aCancelledJobIsDroppedUnlessItRuns() {
        ServerModel server = server(1, 2, WARM);
        List<String> ended = new ArrayList<>();
        Job runs = job(100, () -> ended.add("ran"));
        Job waits = job(100, () -> ended.add("waited"));
        server.offer(now, runs);
        server.offer(now, waits);
        server.cancel(runs);
        server.cancel(waits);
        advanceTo(1_000);
        assertEquals(List.of("ran"), ended);
        assertEquals(0, server.inFlight());
    }

    @Test
    void aColdServerIsSlowAndCollapsesUnderOverload() {
        ServerModel server = server(1, 100, 0);
        long[] ended = new long[1];
        server.offer(now, job(100_000, () -> ended[0] = now));
        advanceTo(2_000_000);
        assertEquals(400_000, ended[0], "a quarter of its capacity at first");
        int taken = 0;
        while (server.offer(now, job(100_000, () -> {})) == Admission.ACCEPTED && taken < 100) {
            taken++;
        }
        assertTrue(server.collapsed());
        // The server collapses beyond 2 times its current capacity, which is 0.44 of a core
        // (exactly 7/16): in one second, that is 8.75 requests of 100 ms.
        assertEquals(8, taken);
        server.start(now);
        assertFalse(server.collapsed());
    }

    /** Guards against a model whose waiting times differ from those of an M/M/1 or M/M/2 queue. */
    @Test
    void meanTimeInSystemMatchesTheQueueingFormula() {
        double meanWork = 50_000;
        for (int cores : new int[] {1, 2}) {
            double load = 0.7;
            UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(17L + cores);
            ZigguratSampler.Exponential exponential = ZigguratSampler.Exponential.of(random);
            ServerModel server = server(cores, Integer.MAX_VALUE, WARM);
            int count = 200_000;
            double[] sum = new double[1];
            double at = now;
            for (int i = 0; i < count; i++) {
                at += exponential.sample() * meanWork / cores / load;
                advanceTo((long) at);
                long arrivedAt = now;
                server.offer(
                        now,
                        job(
                                Math.max(1, Math.round(exponential.sample() * meanWork)),
                                () -> sum[0] += now - arrivedAt));
            }
            advanceTo(now + 60_000_000);
            // The mean time in an M/M/1 and an M/M/2 system is 1 / (1 - load) and 1 / (1 - load^2)
            // mean service times.
            double expected = meanWork / (1 - Math.pow(load, cores));
            assertEquals(expected, sum[0] / count, 0.03 * expected, cores + " cores");
        }
    }
}
