// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/**
 * The purpose of a timer. Timers are never cancelled; a timer that is no longer needed is ignored
 * when it fires.
 */
public sealed interface Timer {

    /** A timer of the decision module. */
    record Decision(String token) implements Timer {}

    /** The timeout of an attempt or a load probe has expired. */
    record AttemptTimeout(long attempt) implements Timer {}

    /** Attempts stop waiting for this connection to be established. */
    record ConnectTimeout(long connection) implements Timer {}

    /** The buffering time of the response of unknown length to this attempt is over. */
    record ResponseBufferTimeout(long connection, long attempt) implements Timer {}

    /** A request's fallback, the response to this attempt, is not held back any longer. */
    record FallbackDue(String request, long attempt) implements Timer {}

    /** Time to close connections that have been idle or without progress for too long. */
    record Sweep() implements Timer {}

    /** The timeout of a poll of discovery has expired. */
    record PollTimeout(long poll) implements Timer {}

    /** Time for the next poll of discovery, unless one was sent after the poll of this number. */
    record NextPoll(long afterPoll) implements Timer {}

    /** The process may soon be killed; what is unanswered is answered now. */
    record LastResponseDue() implements Timer {}

    /** No new clients are expected any more after the node was asked to stop. */
    record QuietPeriodOver() implements Timer {}
}
