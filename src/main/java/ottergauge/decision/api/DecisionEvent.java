// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

import java.util.List;

/** An input of the decision engine. Instants and time spans are in microseconds. */
public sealed interface DecisionEvent {

    /** The endpoint list has changed. */
    record EndpointUpdate(UpdateScope scope, List<Endpoint> endpoints) implements DecisionEvent {}

    /**
     * New settings take effect together with this endpoint list. Requests that arrived before keep
     * their class and limits. Class indices of later requests refer to the new settings.
     */
    record SettingsChanged(DecisionSettings settings, EndpointUpdate endpoints)
            implements DecisionEvent {}

    /** A poll of discovery failed, or the watch broke. */
    record DiscoveryFailed() implements DecisionEvent {}

    /**
     * A client sent a request.
     *
     * @param requestClass index into the classes of the settings
     * @param giveUpAt instant at which the client stops waiting
     * @param clientRetry whether the client marked it as a retry
     * @param affinityKey key shared by related requests, or 0 for none
     */
    record RequestArrived(
            String id, int requestClass, long giveUpAt, boolean clientRetry, long affinityKey)
            implements DecisionEvent {}

    /** The response of a streaming class has started, so the attempt can no longer be replaced. */
    record ResponseStarted(String id, int attempt) implements DecisionEvent {}

    /**
     * The request body is streamed to the attempt's server as it arrives. It can't be sent again,
     * and the server doesn't start work before it has received the entire body.
     */
    record RequestBodyStreaming(String id, int attempt) implements DecisionEvent {}

    /** The last byte of a streamed request body has been sent, so the server starts work. */
    record RequestBodySent(String id, int attempt) implements DecisionEvent {}

    /**
     * An attempt ended.
     *
     * @param elapsed time since the attempt was sent
     * @param requestComplete whether the request needs no further response from the engine
     * @param loadReport load report that came with the server's response
     */
    record AttemptEnded(
            String id,
            int attempt,
            long server,
            AttemptResult result,
            long elapsed,
            boolean requestComplete,
            LoadReport loadReport)
            implements DecisionEvent {}

    /**
     * The request got the response to an attempt that had been reported as ended before. It needs
     * no further attempt.
     */
    record RequestAnswered(String id) implements DecisionEvent {}

    /** The client closed its connection before it received a response. */
    record ClientDisconnected(String id) implements DecisionEvent {}

    /** A load probe ended. */
    record ProbeEnded(long server, AttemptResult result, long elapsed, LoadReport loadReport)
            implements DecisionEvent {}

    /** A timer that was set by {@link DecisionAction.SetTimer} has expired. */
    record TimerFired(String token) implements DecisionEvent {}
}
