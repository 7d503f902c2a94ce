// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class TimersTest {

    private record Started(long millis, Runnable task) {}

    private final List<Started> started = new ArrayList<>();
    private final List<Long> ran = new ArrayList<>();
    private long now = 5_000_000;
    private final Timers timers =
            new Timers(() -> now, (millis, task) -> started.add(new Started(millis, task)));

    /**
     * Guards against a lost timeout: the library fired a timer 2 ms early, and the node ignored it
     * and did not start it again.
     */
    @Test
    void timerThatTheLibraryFiresEarlyWaitsForTheRest() {
        timers.start(100_000, () -> ran.add(now));
        assertEquals(100, started.get(0).millis());

        now += 98_000;
        started.get(0).task().run();
        assertEquals(List.of(), ran);
        assertEquals(2, started.get(1).millis());

        now += 2_000;
        started.get(1).task().run();
        assertEquals(List.of(5_100_000L), ran);
        assertEquals(2, started.size());
    }

    @Test
    void delaysAreRoundedUpToMilliseconds() {
        timers.start(1, () -> ran.add(now));
        timers.start(1_001, () -> ran.add(now));
        assertEquals(List.of(1L, 2L), started.stream().map(Started::millis).toList());
    }

    /**
     * Guards against closing connections as idle and timing out attempts after a stall, although
     * their input has arrived: the event loop must read its sockets before it runs a late timer.
     */
    @Test
    void lateTimerLetsTheLoopReadFirst() {
        boolean[] ran = new boolean[1];
        timers.start(50_000, () -> ran[0] = true);
        now += 950_000;
        started.remove(0).task().run();
        assertFalse(ran[0], "the loop has not read its sockets yet");
        assertEquals(1, started.get(0).millis());
        now += 1_000;
        started.remove(0).task().run();
        assertTrue(ran[0]);
    }
}
