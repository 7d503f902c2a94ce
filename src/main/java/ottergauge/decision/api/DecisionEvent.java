// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

import java.util.List;

/** Something the decision engine is told. Instants and spans are microseconds. */
public sealed interface DecisionEvent {

    /** The endpoint list has changed. */
    record EndpointUpdate(UpdateScope scope, List<Endpoint> endpoints) implements DecisionEvent {}

    /**
     * Other settings take effect, together with this endpoint list. Requests that arrived before
     * keep their class and limits; classes of later requests are indices into the new settings.
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
     * @param affinityKey what the request is about; requests of one key are related; 0 for none
     */
    record RequestArrived(
            String id, int requestClass, long giveUpAt, boolean clientRetry, long affinityKey)
            implements DecisionEvent {}

    /** The response of a streaming class has begun; the attempt can't be replaced any more. */
    record ResponseStarted(String id, int attempt) implements DecisionEvent {}

    /**
     * The request's body is passed to the attempt's server as it comes: it can't be sent again, and
     * the server has no work before all of it has passed.
     */
    record RequestBodyStreaming(String id, int attempt) implements DecisionEvent {}

    /** The last byte of such a body has been sent: the server's work begins. */
    record RequestBodySent(String id, int attempt) implements DecisionEvent {}

    /**
     * An attempt ended.
     *
     * @param elapsed span since it was sent
     * @param requestComplete whether its request needs no answer of the engine any more
     * @param loadReport what the server told with its response
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

    /** The client closed its connection before its request was answered. */
    record ClientDisconnected(String id) implements DecisionEvent {}

    /** A probe ended. */
    record ProbeEnded(long server, AttemptResult result, long elapsed, LoadReport loadReport)
            implements DecisionEvent {}

    /** A timer that was set by {@link DecisionAction.SetTimer} is due. */
    record TimerFired(String token) implements DecisionEvent {}
}
