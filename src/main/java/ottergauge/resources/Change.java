// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.List;

/**
 * One accepted change: it comes in force whole or not at all, and no key is in it twice. A version
 * counts the changes of its log, from 1 on.
 */
public record Change(long version, List<Put> puts, List<Delete> deletes) {

    /** A resource is created, or replaced by this value. */
    public record Put(ResourceKey key, ResourceValue value) {}

    /** A resource is gone; {@code service} is the one that it belonged to. */
    public record Delete(ResourceKey key, String service) {}
}
