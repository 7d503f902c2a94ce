// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/**
 * How soon a change of the endpoints must have reached the node, and the timeouts of discovery's
 * polls that follow from it. The deadline counts from when discovery had the change and was
 * reachable, whatever polls failed, were rejected or stayed unanswered meanwhile.
 *
 * <p>The slowest case: a watch breaks as its poll begins, that is noticed, the poll that reopens it
 * is rejected, and the next one waits for its turn at discovery. Or, once discovery is back: a poll
 * that began just before is never answered, then the longest backoff, then a poll that waits for
 * its turn. Each leaves a sixteenth of the deadline to spare.
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

    /** The shortest such time; nodes whose watches break together spread their polls over both. */
    long minPollWait() {
        return fraction(MIN_POLL_WAIT);
    }

    /** How much later than the wait an answer may arrive. */
    long answerDelay() {
        return fraction(ANSWER_DELAY);
    }

    /** How long a poll that opens a watch may take, including its turn at discovery. */
    long openingTimeout() {
        return fraction(OPENING_TIMEOUT);
    }

    /** The longest backoff after a failed poll, by the number of failures in a row before it. */
    long maxBackoff(int failures) {
        return fraction(failures == 0 ? FIRST_BACKOFF : MAX_BACKOFF);
    }
}
