// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

/**
 * The wait times and timeouts of calls, as fractions of the propagation deadline. Once a reachable
 * control process has a change, the change must be effective at the node within this deadline.
 * Times are in microseconds.
 *
 * <p>In the worst case, a fail-over takes 18 + 4 + 2 * 8 of the 48 parts. The process fails just as
 * a call with the longest wait begins (18). The node detects the failure after the response grace
 * (4). The calls to two more processes time out (8 each), and the fourth process responds. A
 * fail-back to the preferred process adds 8 parts. After an outage of all processes it takes 22 +
 * 18 parts: a call that began just before is lost, then comes the longest back-off, and the next
 * call is answered.
 */
record PollTimeouts(long propagationDeadlineMicros) {

    private static final long PARTS = 48;
    private static final int MAX_WAIT_PARTS = 18;
    private static final int MIN_WAIT_PARTS = 12;
    private static final int RESPONSE_GRACE_PARTS = 4;
    private static final int INITIAL_WAIT_PARTS = 1;
    private static final int INITIAL_TIMEOUT_PARTS = 8;
    private static final int FIRST_BACK_OFF_PARTS = 6;
    private static final int LATER_BACK_OFF_PARTS = 18;

    /** Control processes respond within this time, even if a call requests a longer wait. */
    private static final long MAX_WAIT_MICROS = 10_000_000;

    private long parts(int parts) {
        return propagationDeadlineMicros * parts / PARTS;
    }

    /** The longest time for which a control process may hold a poll open. */
    long maxWaitMicros() {
        return Math.min(MAX_WAIT_MICROS, parts(MAX_WAIT_PARTS));
    }

    /**
     * The shortest time for which a responsive control process may hold a poll open. The wait of
     * each poll is drawn at random between this and {@link #maxWaitMicros}, so that the polls of
     * different nodes don't synchronize.
     */
    long minWaitMicros() {
        return Math.min(MAX_WAIT_MICROS, parts(MIN_WAIT_PARTS));
    }

    /** The time after the requested wait within which the response has to arrive. */
    long responseGraceMicros() {
        return parts(RESPONSE_GRACE_PARTS);
    }

    /**
     * The wait of the first poll that is sent to a process. It is short so that a response soon
     * shows that the process is alive.
     */
    long initialWaitMicros() {
        return parts(INITIAL_WAIT_PARTS);
    }

    /**
     * The timeout of the first poll that is sent to a process, connection setup included. Also the
     * timeout of the polls that complete a snapshot, which request no wait.
     */
    long initialTimeoutMicros() {
        return parts(INITIAL_TIMEOUT_PARTS);
    }

    /**
     * The longest back-off after a failed round, given the number of consecutive failed rounds
     * before it; or before a repeated snapshot, given the number of snapshots started in a row.
     */
    long maxBackOffMicros(int failedBefore) {
        return parts(failedBefore == 0 ? FIRST_BACK_OFF_PARTS : LATER_BACK_OFF_PARTS);
    }
}
