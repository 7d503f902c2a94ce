// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.load;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Sends requests of several clients at instants drawn from a seed, a Poisson process for each
 * client.
 */
public final class Pacer {

    private static final double NANOS = TimeUnit.SECONDS.toNanos(1);

    private final SplittableRandom random;

    /** A pacer that draws from this seed. */
    public Pacer(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * Lets each client send at this mean rate for some time; the thread that calls it does the
     * waiting.
     */
    public void run(List<OpenLoopClient> clients, double perSecond, double seconds) {
        long from = System.nanoTime();
        long until = from + (long) (seconds * NANOS);
        long[] next = new long[clients.size()];
        for (int client = 0; client < next.length; client++) {
            next[client] = from + gap(perSecond);
        }
        int first = earliest(next);
        while (next[first] < until) {
            waitUntil(next[first]);
            clients.get(first).send(next[first]);
            next[first] += gap(perSecond);
            first = earliest(next);
        }
        waitUntil(until);
    }

    private long gap(double perSecond) {
        return (long) (-Math.log(1 - random.nextDouble()) / perSecond * NANOS);
    }

    private static int earliest(long[] instants) {
        int first = 0;
        for (int i = 1; i < instants.length; i++) {
            first = instants[i] < instants[first] ? i : first;
        }
        return first;
    }

    private static void waitUntil(long instant) {
        for (long left = instant - System.nanoTime();
                left > 0;
                left = instant - System.nanoTime()) {
            LockSupport.parkNanos(left);
        }
    }
}
