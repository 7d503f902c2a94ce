// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import ottergauge.resources.Resource;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceValue;

/** A resource with its value's JSON, which every answer that tells of it shares. */
record StoredResource(ResourceKey key, long version, ResourceValue value, byte[] valueJson) {

    String service() {
        return value.service();
    }

    Resource resource() {
        return new Resource(key, version, value);
    }
}
