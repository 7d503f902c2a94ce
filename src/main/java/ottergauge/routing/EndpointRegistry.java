// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ottergauge.decision.api.EndpointState;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.protocol.EndpointList;

/**
 * The listed endpoints, and those of them that operators have put into maintenance. An endpoint in
 * maintenance counts as draining, regardless of its state in the list. The decision module does not
 * know about maintenance. Times and durations are in microseconds.
 */
final class EndpointRegistry {

    // Operators can name listed servers only, so that this limit is reached only in a fleet that
    // renames its servers.
    private static final int MAX_IN_MAINTENANCE = 4096;
    private static final int MICROS_PER_MS = 1000;

    private record Reenabled(long maintenanceSince, long at) {}

    private final Map<String, DiscoveredEndpoint> listed = new LinkedHashMap<>();

    /**
     * The start of maintenance, by server name. Sorted, so that every node reports changes in the
     * same order.
     */
    private final Map<String, Long> maintenanceSince = new TreeMap<>();

    private final Map<String, Reenabled> reenabled = new TreeMap<>();
    private long slowStartDuration;
    private long version;

    EndpointRegistry(long slowStartDuration) {
        this.slowStartDuration = slowStartDuration;
    }

    void setSlowStartDuration(long duration) {
        slowStartDuration = duration;
    }

    /** The version of the last update. */
    long version() {
        return version;
    }

    /** Applies an update of the list; returns it with maintenance taken into account. */
    EndpointList apply(long now, EndpointList update) {
        reenabled.values().removeIf(each -> now - each.at >= slowStartDuration);
        version = update.version();
        if (update.complete()) {
            listed.clear();
        }
        List<DiscoveredEndpoint> effective = new ArrayList<>();
        for (DiscoveredEndpoint endpoint : update.endpoints()) {
            if (endpoint.state() == EndpointState.REMOVED) {
                listed.remove(endpoint.name());
            } else {
                listed.put(endpoint.name(), endpoint);
            }
            effective.add(effective(endpoint));
        }
        return new EndpointList(update.version(), update.complete(), effective);
    }

    private DiscoveredEndpoint effective(DiscoveredEndpoint endpoint) {
        boolean drained =
                endpoint.state() != EndpointState.REMOVED
                        && maintenanceSince.containsKey(endpoint.name());
        return copy(
                endpoint, drained ? EndpointState.DRAINING : endpoint.state(), startedAt(endpoint));
    }

    // Servers are restarted during maintenance, and the list reports the restart seconds late.
    // Until then a re-enabled server counts as started when it was re-enabled, so that slow start
    // applies to it.
    private long startedAt(DiscoveredEndpoint endpoint) {
        Reenabled since = reenabled.get(endpoint.name());
        return since == null || endpoint.startedAtMs() * MICROS_PER_MS >= since.maintenanceSince
                ? endpoint.startedAtMs()
                : since.at / MICROS_PER_MS;
    }

    private static DiscoveredEndpoint copy(
            DiscoveredEndpoint endpoint, EndpointState state, long startedAtMs) {
        return new DiscoveredEndpoint(
                endpoint.name(),
                endpoint.address(),
                endpoint.zone(),
                endpoint.kind(),
                endpoint.cell(),
                state,
                endpoint.weight(),
                startedAtMs);
    }

    /** Whether a server of this name is listed or in maintenance. */
    boolean contains(String name) {
        return listed.containsKey(name) || maintenanceSince.containsKey(name);
    }

    boolean isInMaintenance(String name) {
        return maintenanceSince.containsKey(name);
    }

    /** When the maintenance of this server began, which must be in maintenance. */
    long maintenanceSince(String name) {
        return maintenanceSince.get(name);
    }

    /** Starts a server's maintenance, unless too many are in maintenance; returns what changes. */
    EndpointList startMaintenance(String name, long since) {
        if (maintenanceSince.size() < MAX_IN_MAINTENANCE
                && maintenanceSince.putIfAbsent(name, since) == null) {
            reenabled.remove(name);
            return change(name);
        }
        return noChange();
    }

    /** Ends a server's maintenance; returns what changes. */
    EndpointList endMaintenance(long now, String name) {
        Long since = maintenanceSince.remove(name);
        if (since == null) {
            return noChange();
        }
        reenabled.put(name, new Reenabled(since, now));
        return change(name);
    }

    /** The names, sorted, of the servers in maintenance that are not among these. */
    List<String> inMaintenanceExcept(Collection<String> names) {
        return maintenanceSince.keySet().stream().filter(name -> !names.contains(name)).toList();
    }

    private EndpointList change(String name) {
        DiscoveredEndpoint endpoint = listed.get(name);
        return endpoint == null
                ? noChange()
                : new EndpointList(version, false, List.of(effective(endpoint)));
    }

    private EndpointList noChange() {
        return new EndpointList(version, false, List.of());
    }

    /** The complete list with maintenance taken into account. */
    EndpointList effective() {
        return new EndpointList(
                version, true, listed.values().stream().map(this::effective).toList());
    }

    /** The complete list to cache for the next process; maintenance is stored apart from it. */
    EndpointList snapshot() {
        return new EndpointList(
                version,
                true,
                listed.values().stream()
                        .map(each -> copy(each, each.state(), startedAt(each)))
                        .toList());
    }

    /** The listed servers' names, in the order of the list. */
    Collection<String> names() {
        return listed.keySet();
    }
}
