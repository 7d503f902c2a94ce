// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * How late a loop comes round: it is looked at in equal steps, and each look's lateness counted.
 */
final class EventLoopLag {

    /** The time between two looks. */
    static final long EVERY = TimeUnit.MILLISECONDS.toNanos(10);

    /**
     * Lateness up to each of these is counted together, in milliseconds; what is later comes after
     * them.
     */
    static final List<Integer> BOUNDS = List.of(1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000);

    private long[] counts = new long[BOUNDS.size() + 1];
    private long dueAt;

    /**
     * The first look is due from {@code now} on, by a clock in nanoseconds that only goes forward.
     */
    EventLoopLag(long now) {
        dueAt = now + EVERY;
    }

    /**
     * The loop looks: counts each look that was due by now, those that were missed too, and gives
     * back the nanoseconds until the next one is due.
     */
    long look(long now) {
        while (dueAt <= now) {
            long late = TimeUnit.NANOSECONDS.toMillis(now - dueAt);
            int index = 0;
            while (index < BOUNDS.size() && late >= BOUNDS.get(index)) {
                index++;
            }
            counts[index]++;
            dueAt += EVERY;
        }
        return dueAt - now;
    }

    /** What has been counted since this was asked last. */
    long[] take() {
        long[] taken = counts;
        counts = new long[BOUNDS.size() + 1];
        return taken;
    }
}
