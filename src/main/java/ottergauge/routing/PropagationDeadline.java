// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/**
 * The time within which a change of the endpoints must reach the node, and the timeouts of
 * discovery polls that are derived from it. The deadline starts when discovery has the change and
 * is reachable. It applies even if polls fail, are rejected or stay unanswered meanwhile.
 *
 * <p>Two cases are the slowest. In the first, a watch breaks as its poll begins, the poll times
 * out, the poll that reopens the watch is rejected, and the poll after the first backoff waits for
 * its turn at discovery. That takes up to 23 + 4 + 18 of the 48 parts of the deadline. In the
 * second, discovery becomes reachable again: a poll that began just before that is never answered,
 * the longest backoff follows, and the next poll waits for its turn at discovery. That takes up to
 * 18 + 9 + 18 parts. Each case leaves 3 parts, a sixteenth of the deadline, to spare.
 *
 * @param micros the deadline in microseconds
 */
record PropagationDeadline(long micros) {

    private static final long MAX_MICROS = 6_000_000;

    // The timeouts are multiples of a 48th of the deadline.
    private static final int FRACTIONS = 48;
    private static final int MAX_POLL_WAIT = 21;
    private static final int MIN_POLL_WAIT = 2;
    private static final int ANSWER_DELAY = 2;
    private static final int OPENING_TIMEOUT = 18;
    private static final int FIRST_BACKOFF = 4;
    private static final int MAX_BACKOFF = 9;

    /** The deadline for nodes that must poll at least this often. */
    static PropagationDeadline of(long maxPollInterval) {
        return new PropagationDeadline(Math.min(MAX_MICROS, maxPollInterval));
    }

    private long fraction(int numerator) {
        return micros * numerator / FRACTIONS;
    }

    /** The longest time that a poll of an open watch asks discovery to wait for a change. */
    long maxPollWait() {
        return fraction(MAX_POLL_WAIT);
    }

    /**
     * The shortest such time. Nodes whose watches break at the same time choose random times
     * between this and {@link #maxPollWait}, which spreads their polls.
     */
    long minPollWait() {
        return fraction(MIN_POLL_WAIT);
    }

    /** How long an answer may take in addition to the wait that its poll asked for. */
    long answerDelay() {
        return fraction(ANSWER_DELAY);
    }

    /**
     * How long a poll that opens a watch may take, including the wait for its turn at discovery.
     */
    long openingTimeout() {
        return fraction(OPENING_TIMEOUT);
    }

    /** The longest backoff after a failed poll, by the number of failures in a row before it. */
    long maxBackoff(int failures) {
        return fraction(failures == 0 ? FIRST_BACKOFF : MAX_BACKOFF);
    }
}
