// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.Collection;
import java.util.Optional;
import java.util.TreeMap;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceKey;

/** Resources by key, in the order of the keys, with their estimated size. */
final class ResourceTable {

    private final TreeMap<ResourceKey, Resource> resources = new TreeMap<>();
    private long bytes;

    Optional<Resource> get(ResourceKey key) {
        return Optional.ofNullable(resources.get(key));
    }

    void put(Resource resource) {
        Resource replaced = resources.put(resource.key(), resource);
        bytes += ResourceSize.of(resource) - (replaced == null ? 0 : ResourceSize.of(replaced));
    }

    void remove(ResourceKey key) {
        Resource removed = resources.remove(key);
        bytes -= removed == null ? 0 : ResourceSize.of(removed);
    }

    /** All resources, in the order of the keys. */
    Collection<Resource> all() {
        return resources.values();
    }

    int size() {
        return resources.size();
    }

    /** The estimated bytes of all resources. */
    long bytes() {
        return bytes;
    }
}
