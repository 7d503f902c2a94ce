// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/** Something the node is to do. Spans are microseconds. */
public sealed interface DecisionAction {

    /** Starts the request's next attempt; a timeout of 0 lasts until the client gives up. */
    record SendAttempt(String id, long server, long timeout) implements DecisionAction {}

    /** Cancels an attempt. */
    record CancelAttempt(String id, int attempt) implements DecisionAction {}

    /**
     * Answers the request as rejected: nothing was executed, so a retry is harmless. {@code
     * retryAfter} is advice to the client; 0 gives none.
     */
    record RejectRequest(String id, long retryAfter) implements DecisionAction {}

    /** Answers the request as failed: it may have been executed. */
    record FailRequest(String id) implements DecisionAction {}

    /** Asks a server for its load. */
    record SendProbe(long server) implements DecisionAction {}

    /** Asks discovery for endpoint updates from now on. */
    record WatchEndpoints() implements DecisionAction {}

    /** Asks for a {@link DecisionEvent.TimerFired} with this token. */
    record SetTimer(long delay, String token) implements DecisionAction {}
}
