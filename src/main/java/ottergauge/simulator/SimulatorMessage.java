// SPDX-License-Identifier: Apache-2.0
package ottergauge.simulator;

import java.util.List;
import java.util.Map;
import ottergauge.decision.api.DecisionEvent;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.UpdateScope;

/** A message of the simulator to one engine. Instants and spans are microseconds. */
sealed interface SimulatorMessage {

    /** Introduces a list of endpoints by a number, to which later messages refer. */
    record EndpointTable(int number, List<EndpointEntry> entries) implements SimulatorMessage {}

    /** Starts an engine; one of the same number is dropped. */
    record EngineStart(long seed, Map<String, Object> config) implements SimulatorMessage {}

    /** Drops an engine with its state. */
    record EngineExit() implements SimulatorMessage {}

    /** Engines exchange nothing: what one of another build sends to its peers is ignored. */
    record PeerNote() implements SimulatorMessage {}

    /** The endpoints of a table, which was introduced before, replace or update the known ones. */
    record EndpointsChanged(UpdateScope scope, int table) implements SimulatorMessage {}

    /**
     * A client sent a request.
     *
     * @param requestClass name of its class
     * @param affinityKey what the request is about; 0 for none
     */
    record RequestSent(
            String id, String requestClass, long giveUpAt, boolean clientRetry, long affinityKey)
            implements SimulatorMessage {}

    /** An event that refers to nothing by the names of an engine's settings. */
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
