// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/** An action that the node carries out. Time spans are in microseconds. */
public sealed interface DecisionAction {

    /**
     * Starts the request's next attempt. An attempt with a timeout of 0 lasts until the client
     * gives up.
     */
    record SendAttempt(String id, long server, long timeout) implements DecisionAction {}

    /** Cancels an attempt. */
    record CancelAttempt(String id, int attempt) implements DecisionAction {}

    /**
     * Responds that the request was rejected, which tells the client that a retry is safe. {@code
     * retryAfter} advises the client when to retry; 0 gives no advice.
     */
    record RejectRequest(String id, long retryAfter) implements DecisionAction {}

    /** Responds that the request failed. A server may have executed it. */
    record FailRequest(String id) implements DecisionAction {}

    /** Sends a load probe to a server. */
    record SendProbe(long server) implements DecisionAction {}

    /** Starts to watch discovery for endpoint updates. */
    record WatchEndpoints() implements DecisionAction {}

    /** Requests a {@link DecisionEvent.TimerFired} with this token after the delay. */
    record SetTimer(long delay, String token) implements DecisionAction {}
}
