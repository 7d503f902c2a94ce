// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EventLoopMonitorTest {

    private long now = TimeUnit.SECONDS.toNanos(5);
    private final EventLoopMonitor monitor = new EventLoopMonitor(() -> now);

    // Simulates a round: selects, waits, and then handles input. Returns how long ago, in
    // milliseconds, the input may have arrived.
    private long round(long waitMs, long handleMs) throws Exception {
        monitor.calculateStrategy(() -> 0, false);
        now += TimeUnit.MILLISECONDS.toNanos(waitMs);
        long arrival = monitor.earliestArrival();
        long waited = monitor.microsSince(arrival) / 1000;
        now += TimeUnit.MILLISECONDS.toNanos(handleMs);
        return waited;
    }

    @Test
    void inputThatEndsAWaitArrivedAtThatMoment() throws Exception {
        assertEquals(0, round(40, 0));
        assertEquals(0, round(250, 3));
    }

    /**
     * Guards against treating requests as new that arrived while a loop short of CPU handled
     * others.
     */
    @Test
    void inputReadyWithoutAWaitMayHaveArrivedDuringThePreviousRound() throws Exception {
        round(40, 400);
        assertEquals(400, round(0, 30));
        assertEquals(30, round(0, 0));
        assertEquals(0, round(40, 0));
    }

    /** Guards against the same in a process that was stopped while it was idle. */
    @Test
    void waitLongerThanAnyTimerAllowsCountsAsAStall() throws Exception {
        round(40, 0);
        assertEquals(900, round(900, 0));
    }

    /**
     * Guards against the operating system ending the wait of a continued process before the arrived
     * input is ready.
     */
    @Test
    void inputAfterAStallThatEndedWithNothingReadyIsAsOldAsTheStall() throws Exception {
        round(40, 0);
        round(900, 20);
        assertEquals(920, round(0, 5));
        assertEquals(5, round(0, 0));
        monitor.calculateStrategy(() -> 0, false);
        now += TimeUnit.MILLISECONDS.toNanos(800);
        assertEquals(800, round(0, 0));
    }

    /**
     * Guards against the same on a busy machine: the arrived input was ready 5 ms after the select.
     */
    @Test
    void inputShortlyAfterAStallIsAsOldAsTheStall() throws Exception {
        round(40, 0);
        round(900, 0);
        assertEquals(905, round(5, 0));
        assertEquals(0, round(40, 0));
    }

    @Test
    void roundThatHandlesNothingEndsItsWaitAtTheNextRound() throws Exception {
        round(40, 0);
        monitor.calculateStrategy(() -> 0, false);
        now += TimeUnit.MILLISECONDS.toNanos(200);
        assertEquals(0, round(0, 0));
    }
}
