// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.Optional;
import java.util.TreeMap;
import ottergauge.resources.Change;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceKind;

/** The newest value of each resource, in the order of the keys. */
final class ResourceState {

    private final NavigableMap<ResourceKey, StoredResource> resources = new TreeMap<>();

    /**
     * The number of servers and routes that refer to each service; services without references are
     * absent.
     */
    private final Map<String, Integer> referencesByService = new HashMap<>();

    /** Upper bound of the bytes of JSON of all resources. */
    private long bytes;

    /** The resource with this key. */
    Optional<StoredResource> find(ResourceKey key) {
        return Optional.ofNullable(resources.get(key));
    }

    /** All resources whose key is not before {@code first}, in order. */
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

    /** Upper bound of the bytes of JSON of all resources. */
    long bytes() {
        return bytes;
    }

    /** The number of servers and routes that refer to a service. */
    int referencesTo(String service) {
        return referencesByService.getOrDefault(service, 0);
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
        countReference(resource, 1);
        if (before != null) {
            subtract(before);
        }
    }

    private void remove(ResourceKey key) {
        StoredResource before = resources.remove(key);
        if (before != null) {
            subtract(before);
        }
    }

    private void subtract(StoredResource resource) {
        bytes -= JsonPageBuilder.sizeOf(resource);
        countReference(resource, -1);
    }

    private void countReference(StoredResource resource, int delta) {
        boolean refers =
                resource.key().kind() != ResourceKind.SERVICE && !resource.service().isEmpty();
        if (refers) {
            referencesByService.merge(
                    resource.service(),
                    delta,
                    (count, change) -> count + change == 0 ? null : count + change);
        }
    }
}
