// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.List;

/**
 * A resource with the value that one change gave it.
 *
 * @param version the version of the change that put this value
 */
public record Resource(ResourceKey key, long version, ResourceValue value) {

    /** Returns a change that puts only this resource. */
    public Change asChange() {
        return new Change(version, List.of(new Change.Put(key, value)), List.of());
    }
}
