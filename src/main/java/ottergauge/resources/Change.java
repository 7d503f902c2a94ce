// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.List;

/**
 * One accepted change of the log. It takes effect completely or not at all, and contains each key
 * at most once.
 *
 * @param version its number in the log, starting at 1
 */
public record Change(long version, List<Put> puts, List<Delete> deletes) {

    /** Creates a resource, or replaces its value. */
    public record Put(ResourceKey key, ResourceValue value) {}

    /**
     * Deletes a resource; {@code service} is the service that the resource belonged to, empty for
     * none.
     */
    public record Delete(ResourceKey key, String service) {}
}
