// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/**
 * How soon a change of the list has to be in hand, and what follows from it, reckoned backwards,
 * for the calls to discovery. A change counts as told this long after discovery had it and could be
 * reached, whatever calls failed, were refused or fell silent meanwhile; where the settings want
 * nodes to ask more often, sooner.
 *
 * <p>The longest way: a watch falls silent as its call begins, that is noticed, the call that opens
 * it anew is turned away, and the one after it waits for its whole turn. Or, once discovery is
 * back: a call that began just before is never answered, the longest pause, and a call that waits
 * for its whole turn. Either leaves a sixteenth of the time to spare. Spans are microseconds.
 */
record PropagationDeadline(long within) {

    private static final long COUNTS_AS_TOLD = 6_000_000;
    private static final long PARTS = 48;

    static PropagationDeadline of(long askWithin) {
        return new PropagationDeadline(Math.min(COUNTS_AS_TOLD, askWithin));
    }

    private long parts(int parts) {
        return within * parts / PARTS;
    }

    /** The longest time for which a call of a watch that goes on may wait. */
    long longestWait() {
        return parts(21);
    }

    /**
     * And the shortest: nodes that lose their watches together then keep discovery busy from the
     * start.
     */
    long shortestWait() {
        return parts(2);
    }

    /**
     * A wait that is over is answered after a trip: this is for what makes it late at either end.
     */
    long silentAfter() {
        return parts(2);
    }

    /** What a call that opens a watch may take, its turn in discovery's line included. */
    long answerWithin() {
        return parts(18);
    }

    /** The longest pause after a call that failed, by how many failed in a row before it. */
    long pause(int failures) {
        return failures == 0 ? parts(4) : parts(9);
    }
}
