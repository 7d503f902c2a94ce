// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class EventLoopMonitorTest {

    private long now = TimeUnit.SECONDS.toNanos(5);
    private final EventLoopMonitor monitor = new EventLoopMonitor(() -> now);

    // Simulates one round of the event loop: selects, waits for input, and handles it. Returns the
    // maximum time in milliseconds for which the input can have been waiting when it is read.
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
     * Guards against giving requests too much time: while an event loop that is short of CPU
     * handles some requests, others arrive. The node must not treat those as new when it reads
     * them.
     */
    @Test
    void inputReadyWithoutAWaitMayHaveArrivedDuringThePreviousRound() throws Exception {
        round(40, 400);
        assertEquals(400, round(0, 30));
        assertEquals(30, round(0, 0));
        assertEquals(0, round(40, 0));
    }

    /** Guards against treating requests as new that arrived while the idle process was stopped. */
    @Test
    void waitLongerThanAnyTimerAllowsCountsAsAStall() throws Exception {
        round(40, 0);
        assertEquals(900, round(900, 0));
    }

    /**
     * Guards against treating input as new after a stall. When the operating system continues a
     * stopped process, it may end the wait in one round and report the arrived input only in the
     * next one.
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
     * Guards against treating input as new after a stall on a busy machine, where the operating
     * system reported the arrived input only 5 ms after the select.
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
