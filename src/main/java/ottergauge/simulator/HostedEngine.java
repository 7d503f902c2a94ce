// SPDX-License-Identifier: Apache-2.0
package ottergauge.simulator;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ottergauge.decision.DecisionEngine;
import ottergauge.decision.api.DecisionActionSink;
import ottergauge.decision.api.DecisionEvent;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.api.Endpoint;
import ottergauge.decision.api.RequestClass;
import ottergauge.decision.api.UpdateScope;
import ottergauge.settings.SettingsReader;
import ottergauge.simulator.SimulatorMessage.EndpointEntry;
import ottergauge.simulator.SimulatorMessage.RequestSent;

/** One decision engine with the names in its settings, to which the simulator's messages refer. */
final class HostedEngine {

    private final DecisionEngine engine;
    private final Map<String, Integer> classIndexes = new HashMap<>();
    private final List<String> zones;
    private final List<String> kinds;

    HostedEngine(long seed, Map<String, Object> config) {
        SettingsReader reader = new SettingsReader(config);
        DecisionSettings settings = reader.decisionSettings();
        for (RequestClass requestClass : settings.requestClasses()) {
            classIndexes.put(requestClass.name(), classIndexes.size());
        }
        zones = reader.zoneNames();
        kinds = reader.kindNames();
        engine = new DecisionEngine(settings, seed);
    }

    /** Hands an event to the engine; {@code now} is in microseconds. */
    void handle(long now, DecisionEvent event, DecisionActionSink actions) {
        engine.handle(now, event, actions);
    }

    /**
     * Translates a request; throws {@link SimulatorFormatException} if the settings lack its class.
     */
    DecisionEvent requestArrived(RequestSent request) {
        Integer classIndex = classIndexes.get(request.requestClass());
        if (classIndex == null) {
            throw new SimulatorFormatException("unknown class " + request.requestClass());
        }
        return new DecisionEvent.RequestArrived(
                request.id(),
                classIndex,
                request.giveUpAt(),
                request.clientRetry(),
                request.affinityKey());
    }

    /** Translates a table of endpoints. */
    DecisionEvent endpointUpdate(UpdateScope scope, List<EndpointEntry> entries) {
        List<Endpoint> endpoints = new ArrayList<>(entries.size());
        for (EndpointEntry entry : entries) {
            endpoints.add(endpoint(entry));
        }
        return new DecisionEvent.EndpointUpdate(scope, endpoints);
    }

    private Endpoint endpoint(EndpointEntry entry) {
        return new Endpoint(
                entry.server(),
                zones.indexOf(entry.zone()),
                kinds.indexOf(entry.kind()),
                entry.cell(),
                entry.state(),
                entry.nominalWeight(),
                entry.startedAt());
    }
}
