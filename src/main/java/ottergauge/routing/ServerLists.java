// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ottergauge.DecisionApi.ListScope;
import ottergauge.DecisionApi.ListedServer;
import ottergauge.DecisionApi.ServerList;
import ottergauge.protocol.HostList;
import ottergauge.protocol.NodeSettings;

/**
 * Puts a list as the decisions take it: zones and kinds by their numbers in the settings, servers
 * by ids.
 */
final class ServerLists {

    private static final int UNKNOWN = -1;

    private final List<String> zones;
    private final List<String> kinds;
    private final Map<String, Integer> zoneNumbers;
    private final Map<String, Integer> kindNumbers;

    ServerLists(NodeSettings settings) {
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

    ServerList list(HostList list, ListScope scope) {
        return new ServerList(scope, list.hosts().stream().map(this::listed).toList());
    }

    private ListedServer listed(HostList.Host host) {
        return new ListedServer(
                ServerIds.of(host.name()),
                zoneNumbers.getOrDefault(host.site(), UNKNOWN),
                kindNumbers.getOrDefault(host.kind(), UNKNOWN),
                host.block(),
                host.state(),
                host.share(),
                host.bornMs() * 1000);
    }
}
