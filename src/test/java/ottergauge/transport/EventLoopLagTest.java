// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Tests the measurement of an event loop's lag, in simulated time. */
class EventLoopLagTest {

    private static long ms(double millis) {
        return (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
    }

    private static long[] counts(int bound, long count) {
        long[] counts = new long[EventLoopLag.BOUNDS_MS.size() + 1];
        if (bound >= 0) {
            counts[bound] = count;
        }
        return counts;
    }

    @Test
    void runOnTimeIsCountedWithoutLag() {
        EventLoopLag lag = new EventLoopLag(0);
        assertEquals(ms(9.5), lag.record(ms(10.5)));
        assertArrayEquals(counts(0, 1), lag.takeCounts());
        assertArrayEquals(counts(-1, 0), lag.takeCounts());
    }

    @Test
    void earlyRunIsNotCounted() {
        EventLoopLag lag = new EventLoopLag(0);
        assertEquals(ms(1), lag.record(ms(9)));
        assertArrayEquals(counts(-1, 0), lag.takeCounts());
    }

    /**
     * Guards against hiding a stall in the metrics: if a stall of 1 s counted as one late run, it
     * would disappear among many runs on time. Each run that the loop missed counts.
     */
    @Test
    void missedRunsAreCounted() {
        EventLoopLag lag = new EventLoopLag(0);
        lag.record(ms(1_010));
        long[] counts = lag.takeCounts();
        assertEquals(101, Arrays.stream(counts).sum());
        assertEquals(1, counts[counts.length - 1]);
        assertEquals(50, counts[EventLoopLag.BOUNDS_MS.indexOf(1_000)]);
    }
}
