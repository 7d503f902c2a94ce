// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import java.util.List;
import java.util.concurrent.TimeUnit;

/** A histogram of an event loop's lag: how much later than due the loop runs a periodic task. */
final class EventLoopLag {

    /** The task's period, in nanoseconds. */
    static final long PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    /**
     * Upper bounds (exclusive) of the histogram's buckets, in milliseconds; the last bucket has
     * none.
     */
    static final List<Integer> BOUNDS_MS = List.of(1, 2, 5, 10, 20, 50, 100, 200, 500, 1_000);

    private long[] counts = new long[BOUNDS_MS.size() + 1];
    private long dueAt;

    /** The first run is due one period after {@code now}, by a monotonic clock in nanoseconds. */
    EventLoopLag(long now) {
        dueAt = now + PERIOD_NANOS;
    }

    /**
     * Records the lag of each run that was due by now, including missed runs.
     *
     * @return the nanoseconds until the next run is due
     */
    long record(long now) {
        while (dueAt <= now) {
            counts[bucket(TimeUnit.NANOSECONDS.toMillis(now - dueAt))]++;
            dueAt += PERIOD_NANOS;
        }
        return dueAt - now;
    }

    private static int bucket(long lagMs) {
        int index = 0;
        while (index < BOUNDS_MS.size() && lagMs >= BOUNDS_MS.get(index)) {
            index++;
        }
        return index;
    }

    /** Returns the counts since the last call, one for each bucket. */
    long[] takeCounts() {
        long[] taken = counts;
        counts = new long[BOUNDS_MS.size() + 1];
        return taken;
    }
}
