// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.load;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

/**
 * Sends the requests of several clients at random times, which are generated from a seed: an
 * independent Poisson process for each client.
 */
public final class Pacer {

    private static final double NANOS = TimeUnit.SECONDS.toNanos(1);

    private final SplittableRandom random;

    /** Creates a pacer with this random seed. */
    public Pacer(long seed) {
        random = new SplittableRandom(seed);
    }

    /**
     * Makes each client send requests at this mean rate for this time. Blocks the calling thread.
     */
    public void run(List<OpenLoopClient> clients, double perSecond, double seconds) {
        long start = System.nanoTime();
        long end = start + (long) (seconds * NANOS);
        long[] nextSend = new long[clients.size()];
        for (int client = 0; client < nextSend.length; client++) {
            nextSend[client] = start + nextInterval(perSecond);
        }
        int earliestClient = earliest(nextSend);
        while (nextSend[earliestClient] < end) {
            waitUntil(nextSend[earliestClient]);
            clients.get(earliestClient).send(nextSend[earliestClient]);
            nextSend[earliestClient] += nextInterval(perSecond);
            earliestClient = earliest(nextSend);
        }
        waitUntil(end);
    }

    private long nextInterval(double perSecond) {
        return (long) (-Math.log(1 - random.nextDouble()) / perSecond * NANOS);
    }

    private static int earliest(long[] instants) {
        int earliestClient = 0;
        for (int i = 1; i < instants.length; i++) {
            earliestClient = instants[i] < instants[earliestClient] ? i : earliestClient;
        }
        return earliestClient;
    }

    private static void waitUntil(long instant) {
        for (long remaining = instant - System.nanoTime();
                remaining > 0;
                remaining = instant - System.nanoTime()) {
            LockSupport.parkNanos(remaining);
        }
    }
}
