// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ottergauge.decision.api.DecisionEvent.EndpointUpdate;
import ottergauge.decision.api.Endpoint;
import ottergauge.decision.api.UpdateScope;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.NodeSettings;

/**
 * Maps endpoint lists to the decision module's form: zones and kinds by their index in the
 * settings, servers by id, start times in microseconds.
 */
final class EndpointSnapshotMapper {

    private static final int UNKNOWN = -1;
    private static final int MICROS_PER_MS = 1000;

    private final List<String> zones;
    private final List<String> kinds;
    private final Map<String, Integer> zoneIndices;
    private final Map<String, Integer> kindIndices;

    EndpointSnapshotMapper(NodeSettings settings) {
        zones = settings.zones();
        kinds = settings.kinds();
        zoneIndices = indices(zones);
        kindIndices = indices(kinds);
    }

    private static Map<String, Integer> indices(List<String> names) {
        Map<String, Integer> indices = new HashMap<>();
        for (int index = 0; index < names.size(); index++) {
            indices.putIfAbsent(names.get(index), index);
        }
        return indices;
    }

    /** Whether zones and kinds have the same indices under other settings. */
    boolean hasSameIndices(NodeSettings settings) {
        return zones.equals(settings.zones()) && kinds.equals(settings.kinds());
    }

    EndpointUpdate map(EndpointList list, UpdateScope scope) {
        return new EndpointUpdate(scope, list.endpoints().stream().map(this::map).toList());
    }

    private Endpoint map(DiscoveredEndpoint endpoint) {
        return new Endpoint(
                EndpointIds.of(endpoint.name()),
                zoneIndices.getOrDefault(endpoint.zone(), UNKNOWN),
                kindIndices.getOrDefault(endpoint.kind(), UNKNOWN),
                endpoint.cell(),
                endpoint.state(),
                endpoint.weight(),
                endpoint.startedAtMs() * MICROS_PER_MS);
    }
}
