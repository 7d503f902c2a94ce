// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

/**
 * The waits and timeouts of calls, as parts of the propagation deadline: a change has to be
 * effective at the node that soon after a reachable control process has it. Spans are microseconds.
 *
 * <p>The worst case of a fail-over takes 18 + 4 + 2 * 8 of 48 parts: the called process fails as a
 * call of the longest wait begins, that is noticed after the response grace, two more processes
 * time out, and the fourth responds. A fail-back to the preferred process adds 8 parts. After an
 * outage of all processes it takes 22 + 18 parts: a call that began just before is lost, then comes
 * the longest back-off, and the next call is answered.
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

    /** Control processes respond after this time at the latest, whatever a call asks for. */
    private static final long MAX_WAIT_MICROS = 10_000_000;

    private long parts(int parts) {
        return propagationDeadlineMicros * parts / PARTS;
    }

    /** The longest time for which a poll may wait for a change. */
    long maxWaitMicros() {
        return Math.min(MAX_WAIT_MICROS, parts(MAX_WAIT_PARTS));
    }

    /** The shortest; waits are drawn between the two, so that nodes don't poll in step. */
    long minWaitMicros() {
        return Math.min(MAX_WAIT_MICROS, parts(MIN_WAIT_PARTS));
    }

    /** How much later than its wait a response may come. */
    long responseGraceMicros() {
        return parts(RESPONSE_GRACE_PARTS);
    }

    /** The wait of the first poll of a process: its response shows that the process is alive. */
    long initialWaitMicros() {
        return parts(INITIAL_WAIT_PARTS);
    }

    /** The timeout of that poll, its connection included. */
    long initialTimeoutMicros() {
        return parts(INITIAL_TIMEOUT_PARTS);
    }

    /** The longest back-off after a failed round, by how many failed directly before it. */
    long maxBackOffMicros(int failedBefore) {
        return parts(failedBefore == 0 ? FIRST_BACK_OFF_PARTS : LATER_BACK_OFF_PARTS);
    }
}
