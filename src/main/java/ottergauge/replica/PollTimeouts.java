// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

/**
 * The times of calls, reckoned backwards from how soon a change has to be in force once a control
 * process that the node can reach has it. Spans are microseconds.
 *
 * <p>The longest way: the process that is asked falls silent as a call begins that waits as long as
 * any, that is noticed, two more processes are silent, and the fourth one answers: 18 + 4 + 2 * 8
 * parts of 48. A try to go back to the first process adds 8. After all were away: a call that began
 * just before is never answered, then the longest pause, and the next call is answered: 22 + 18
 * parts.
 */
record PollTimeouts(long propagationDeadlineMicros) {

    private static final long PARTS = 48;

    /** Control processes answer after this time at the latest, whatever a call asks for. */
    private static final long MAX_WAIT_MICROS = 10_000_000;

    private long parts(int parts) {
        return propagationDeadlineMicros * parts / PARTS;
    }

    /** The longest time for which a call may wait for a change. */
    long maxWaitMicros() {
        return Math.min(MAX_WAIT_MICROS, parts(18));
    }

    /** And the shortest, so that nodes which begin together don't go on asking together. */
    long minWaitMicros() {
        return Math.min(MAX_WAIT_MICROS, parts(12));
    }

    /** How much later than its wait an answer may come. */
    long responseGraceMicros() {
        return parts(4);
    }

    /**
     * For which the first call to a process may wait: its answer says that the process is there.
     */
    long initialWaitMicros() {
        return parts(1);
    }

    /** What that call may take, its connection included. */
    long initialTimeoutMicros() {
        return parts(8);
    }

    /**
     * The longest pause after a round in which no process could be used, by how many such came
     * before.
     */
    long pause(int failedRounds) {
        return failedRounds == 0 ? parts(6) : parts(18);
    }
}
