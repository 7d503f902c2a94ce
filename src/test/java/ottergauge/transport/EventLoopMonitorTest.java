// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EventLoopMonitorTest {

    private long now = TimeUnit.SECONDS.toNanos(5);
    private final EventLoopMonitor monitor = new EventLoopMonitor(() -> now);

    // Asks for what is ready, waits for so long, and then handles something for so long.
    private long round(long waits, long handles) throws Exception {
        monitor.calculateStrategy(() -> 0, false);
        now += TimeUnit.MILLISECONDS.toNanos(waits);
        long since = monitor.earliestArrival();
        long waited = monitor.microsSince(since) / 1000;
        now += TimeUnit.MILLISECONDS.toNanos(handles);
        return waited;
    }

    @Test
    void whatEndsAWaitCameJustThen() throws Exception {
        assertEquals(0, round(40, 0));
        assertEquals(0, round(250, 3));
    }

    /** Guards against requests taken for new that came while a loop short of CPU handled others. */
    @Test
    void whatIsReadyAtOnceMayHaveComeWhileTheRoundBeforeWasHandled() throws Exception {
        round(40, 400);
        assertEquals(400, round(0, 30));
        assertEquals(30, round(0, 0));
        assertEquals(0, round(40, 0));
    }

    /** Guards against the same with a process that was stopped while it had nothing to do. */
    @Test
    void aWaitLongerThanAnyTimerLetsItBeIsNone() throws Exception {
        round(40, 0);
        assertEquals(900, round(900, 0));
    }

    /**
     * Guards against the system ending the wait of a continued process before what came is ready.
     */
    @Test
    void whatComesAfterAWaitThatEndedWithNothingIsAsOldAsThat() throws Exception {
        round(40, 0);
        round(900, 20);
        assertEquals(920, round(0, 5));
        assertEquals(5, round(0, 0));
        monitor.calculateStrategy(() -> 0, false);
        now += TimeUnit.MILLISECONDS.toNanos(800);
        assertEquals(800, round(0, 0));
    }

    /**
     * Guards against the same where the machine is busy: what had come was ready 5 ms after the
     * asking.
     */
    @Test
    void whatComesALittleAfterAStandstillIsAsOldAsThat() throws Exception {
        round(40, 0);
        round(900, 0);
        assertEquals(905, round(5, 0));
        assertEquals(0, round(40, 0));
    }

    @Test
    void aRoundInWhichNothingIsHandledHidesNothing() throws Exception {
        round(40, 0);
        monitor.calculateStrategy(() -> 0, false);
        now += TimeUnit.MILLISECONDS.toNanos(200);
        assertEquals(0, round(0, 0));
    }
}
