// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.discovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The versioned list of server instances as discovery knows it. The caller decides how late a
 * change is entered here.
 */
public final class ServiceRegistry {

    /** The state of a server instance in the list. */
    public enum Health {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    /**
     * An entry of the list; {@code serverName} is the server's name in the scenario, which stays
     * when a replacement gets another {@code id}.
     */
    public record Instance(
            String id,
            String serverName,
            String zone,
            String kind,
            Health health,
            long startedAtMs,
            long version) {}

    private final Map<String, Instance> instances = new LinkedHashMap<>();
    private final List<Instance> removed = new ArrayList<>();
    private long version = 1;
    private List<Instance> frozen;
    private long frozenVersion;

    /** Sets the state of a server instance; returns false if nothing has changed. */
    public boolean update(
            String id,
            String serverName,
            String zone,
            String kind,
            Health health,
            long startedAtMs) {
        Instance before = instances.get(id);
        if ((before != null && before.health() == health && before.startedAtMs() == startedAtMs)
                || (before == null && health == Health.TERMINATED)) {
            return false;
        }
        Instance instance =
                new Instance(id, serverName, zone, kind, health, startedAtMs, ++version);
        if (health == Health.TERMINATED) {
            instances.remove(id);
            removed.add(instance);
        } else {
            instances.put(id, instance);
        }
        return true;
    }

    /**
     * Freezes the list that callers see. Later updates are recorded, but are not visible until
     * {@link #thaw}.
     */
    public void freeze() {
        frozen = List.copyOf(instances.values());
        frozenVersion = version;
    }

    public void thaw() {
        frozen = null;
    }

    public long version() {
        return frozen == null ? version : frozenVersion;
    }

    public List<Instance> fullList() {
        return frozen == null ? List.copyOf(instances.values()) : frozen;
    }

    /** Whether this is still the latest recorded state of its instance. */
    public boolean isLatest(Instance instance) {
        Instance listed = instances.get(instance.id());
        return listed != null
                ? listed.equals(instance)
                : removed.stream()
                        .filter(each -> each.id().equals(instance.id()))
                        .reduce((first, last) -> last)
                        .filter(instance::equals)
                        .isPresent();
    }

    /**
     * The instances changed after a version, removed ones included; empty while the list is frozen.
     */
    public List<Instance> since(long after) {
        List<Instance> updates = new ArrayList<>();
        if (frozen == null) {
            removed.stream().filter(instance -> instance.version() > after).forEach(updates::add);
            instances.values().stream()
                    .filter(instance -> instance.version() > after)
                    .forEach(updates::add);
        }
        return updates;
    }
}
