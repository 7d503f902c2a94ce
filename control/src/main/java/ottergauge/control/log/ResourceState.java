// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import ottergauge.resources.Change;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceKind;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.TreeMap;

/** All resources as the newest change left them, in the order of their keys. */
final class ResourceState {

    private final NavigableMap<ResourceKey, StoredResource> resources = new TreeMap<>();

    /** How many servers and routes name a service; those that none names are absent. */
    private final Map<String, Integer> usersByService = new HashMap<>();

    private long bytes;

    /** The resource of this key; null if there is none. */
    StoredResource get(ResourceKey key) {
        return resources.get(key);
    }

    /** All resources from a key on, in order. */
    Collection<StoredResource> from(ResourceKey first) {
        return Collections.unmodifiableCollection(resources.tailMap(first, true).values());
    }

    /** All resources in order. */
    Collection<StoredResource> all() {
        return Collections.unmodifiableCollection(resources.values());
    }

    int size() {
        return resources.size();
    }

    long bytes() {
        return bytes;
    }

    int usersOf(String service) {
        return usersByService.getOrDefault(service, 0);
    }

    void apply(StoredChange change) {
        for (Change.Delete delete : change.deletes()) {
            remove(delete.key());
        }
        change.puts().forEach(this::put);
    }

    void put(StoredResource resource) {
        StoredResource before = resources.put(resource.key(), resource);
        bytes += JsonPageBuilder.sizeOf(resource);
        countUser(resource, 1);
        if (before != null) {
            forget(before);
        }
    }

    private void remove(ResourceKey key) {
        StoredResource before = resources.remove(key);
        if (before != null) {
            forget(before);
        }
    }

    private void forget(StoredResource resource) {
        bytes -= JsonPageBuilder.sizeOf(resource);
        countUser(resource, -1);
    }

    private void countUser(StoredResource resource, int difference) {
        boolean uses =
                resource.key().kind() != ResourceKind.SERVICE && !resource.service().isEmpty();
        if (uses) {
            usersByService.merge(
                    resource.service(),
                    difference,
                    (count, by) -> count + by == 0 ? null : count + by);
        }
    }
}
