// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Arrays;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Holds the measure of a loop's lateness to made-up time. */
class EventLoopLagTest {

    private static long ms(double millis) {
        return (long) (millis * TimeUnit.MILLISECONDS.toNanos(1));
    }

    private static long[] counts(int bound, long count) {
        long[] counts = new long[EventLoopLag.BOUNDS.size() + 1];
        if (bound >= 0) {
            counts[bound] = count;
        }
        return counts;
    }

    @Test
    void aLookInTimeIsNotLate() {
        EventLoopLag lateness = new EventLoopLag(0);
        assertEquals(ms(9.5), lateness.look(ms(10.5)));
        assertArrayEquals(counts(0, 1), lateness.take());
        assertArrayEquals(counts(-1, 0), lateness.take());
    }

    @Test
    void aLookTooEarlyIsNone() {
        EventLoopLag lateness = new EventLoopLag(0);
        assertEquals(ms(1), lateness.look(ms(9)));
        assertArrayEquals(counts(-1, 0), lateness.take());
    }

    /** Guards against a standstill of a second that counts as one late look among many in time. */
    @Test
    void looksThatWereMissedCountToo() {
        EventLoopLag lateness = new EventLoopLag(0);
        lateness.look(ms(1_010));
        long[] counts = lateness.take();
        assertEquals(101, Arrays.stream(counts).sum());
        assertEquals(1, counts[counts.length - 1]);
        assertEquals(50, counts[EventLoopLag.BOUNDS.indexOf(1_000)]);
    }
}
