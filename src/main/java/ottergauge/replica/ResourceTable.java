// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.Collection;
import java.util.Optional;
import java.util.TreeMap;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceKey;

/** Resources by key, in the order of the keys, with their size reckoned. */
final class ResourceTable {

    private final TreeMap<ResourceKey, Resource> resources = new TreeMap<>();
    private long bytes;

    Optional<Resource> get(ResourceKey key) {
        return Optional.ofNullable(resources.get(key));
    }

    void put(Resource resource) {
        Resource before = resources.put(resource.key(), resource);
        bytes += ResourceSize.of(resource) - (before == null ? 0 : ResourceSize.of(before));
    }

    void remove(ResourceKey key) {
        Resource before = resources.remove(key);
        bytes -= before == null ? 0 : ResourceSize.of(before);
    }

    /** All resources, in the order of the keys. */
    Collection<Resource> all() {
        return resources.values();
    }

    int size() {
        return resources.size();
    }

    long bytes() {
        return bytes;
    }
}
