// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.discovery;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The list of servers as discovery knows it, by versions; what it is told becomes known here late.
 */
public final class ServiceRegistry {

    /** What the list says of a server. */
    public enum Health {
        IN_SERVICE,
        TERMINATING,
        TERMINATED
    }

    /** A line of the list; {@code serverName} is where the server stands, whatever its id. */
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

    /** Notes a server's state; the same as before is no news. */
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

    /** From now on it tells what it knows now, whatever it is told. */
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

    /** Whether this is still the last that is known of its server. */
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

    /** What has changed since a version; a frozen one knows of no change. */
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
