// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import ottergauge.resources.Resource;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceValue;

/**
 * A resource whose value is encoded once. All responses and log snapshots share these bytes, which
 * are never modified. Instances are compared by identity.
 */
final class StoredResource {

    private final ResourceKey key;
    private final long version;
    private final ResourceValue value;
    private final byte[] valueJson;

    private StoredResource(ResourceKey key, long version, ResourceValue value) {
        this.key = key;
        this.version = version;
        this.value = value;
        valueJson = ResourceCodec.write(value);
    }

    static StoredResource of(Resource resource) {
        return new StoredResource(resource.key(), resource.version(), resource.value());
    }

    ResourceKey key() {
        return key;
    }

    /** The version of the change that put this value. */
    long version() {
        return version;
    }

    ResourceValue value() {
        return value;
    }

    /** The name of the service that the resource belongs to; empty if it belongs to none. */
    String service() {
        return value.service();
    }

    /** The encoded value. The array is shared, so callers must not modify it. */
    byte[] valueJson() {
        return valueJson;
    }

    Resource resource() {
        return new Resource(key, version, value);
    }
}
