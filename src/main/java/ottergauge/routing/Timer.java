// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/**
 * What a timer is for. Timers are never cancelled; one that is no longer wanted is ignored when it
 * fires.
 */
public sealed interface Timer {

    /** A timer of the decision module. */
    record Decision(String token) implements Timer {}

    /** The time of an attempt or a health check is over. */
    record AttemptTimeout(long attempt) implements Timer {}

    /** Attempts stop waiting for this connection to be established. */
    record ConnectTimeout(long connection) implements Timer {}

    /** A response of unknown length is buffered no longer. */
    record ResponseBufferTimeout(long attempt) implements Timer {}

    /** Time to look for connections that are idle, or in the middle of a request, for too long. */
    record Sweep() implements Timer {}

    /** The answer to a poll of discovery is due. */
    record PollTimeout(long poll) implements Timer {}

    /** Time for the next poll of discovery, unless one was sent after the poll of this number. */
    record NextPoll(long afterPoll) implements Timer {}

    /** New clients are no longer expected after the node was told to stop. */
    record QuietPeriodOver() implements Timer {}
}
