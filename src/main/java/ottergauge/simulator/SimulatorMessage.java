// SPDX-License-Identifier: Apache-2.0
package ottergauge.simulator;

import java.util.List;
import java.util.Map;
import ottergauge.decision.api.DecisionEvent;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.UpdateScope;

/** A message of the simulator to one engine. Instants and durations are in microseconds. */
sealed interface SimulatorMessage {

    /** Introduces a list of endpoints by a number, to which later messages refer. */
    record EndpointTable(int number, List<EndpointEntry> entries) implements SimulatorMessage {}

    /** Starts an engine; a running one with the same number is dropped. */
    record EngineStart(long seed, Map<String, Object> config) implements SimulatorMessage {}

    /** Drops an engine with its state. */
    record EngineExit() implements SimulatorMessage {}

    /**
     * A message between engines. These engines exchange none: a message from an engine of another
     * build is ignored.
     */
    record PeerNote() implements SimulatorMessage {}

    /**
     * Replaces or updates the known endpoints with those of a table that an earlier message
     * introduced.
     */
    record EndpointsChanged(UpdateScope scope, int table) implements SimulatorMessage {}

    /**
     * A client sent a request.
     *
     * @param requestClass name of its class
     * @param affinityKey key of the data that the request is about; 0 for none
     */
    record RequestSent(
            String id, String requestClass, long giveUpAt, boolean clientRetry, long affinityKey)
            implements SimulatorMessage {}

    /**
     * An event that can be translated without an engine's settings, since it refers to none of
     * their names.
     */
    record EngineEvent(DecisionEvent event) implements SimulatorMessage {}

    /**
     * An endpoint as the simulator lists it.
     *
     * @param zone name of its zone, or null
     * @param kind name of its machine type, or null
     */
    record EndpointEntry(
            long server,
            String zone,
            String kind,
            int cell,
            EndpointState state,
            double nominalWeight,
            long startedAt) {}
}
