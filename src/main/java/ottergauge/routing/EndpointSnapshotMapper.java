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
 * Puts a list as the decisions take it: zones and kinds by their numbers in the settings, servers
 * by ids.
 */
final class EndpointSnapshotMapper {

    private static final int UNKNOWN = -1;

    private final List<String> zones;
    private final List<String> kinds;
    private final Map<String, Integer> zoneNumbers;
    private final Map<String, Integer> kindNumbers;

    EndpointSnapshotMapper(NodeSettings settings) {
        zones = settings.zones();
        kinds = settings.kinds();
        zoneNumbers = numbers(zones);
        kindNumbers = numbers(kinds);
    }

    private static Map<String, Integer> numbers(List<String> names) {
        Map<String, Integer> numbers = new HashMap<>();
        for (int number = 0; number < names.size(); number++) {
            numbers.putIfAbsent(names.get(number), number);
        }
        return numbers;
    }

    /** Whether zones and kinds have the same numbers under other settings. */
    boolean numberLike(NodeSettings settings) {
        return zones.equals(settings.zones()) && kinds.equals(settings.kinds());
    }

    EndpointUpdate list(EndpointList list, UpdateScope scope) {
        return new EndpointUpdate(scope, list.endpoints().stream().map(this::listed).toList());
    }

    private Endpoint listed(DiscoveredEndpoint host) {
        return new Endpoint(
                EndpointIds.of(host.name()),
                zoneNumbers.getOrDefault(host.zone(), UNKNOWN),
                kindNumbers.getOrDefault(host.kind(), UNKNOWN),
                host.cell(),
                host.state(),
                host.weight(),
                host.startedAtMs() * 1000);
    }
}
