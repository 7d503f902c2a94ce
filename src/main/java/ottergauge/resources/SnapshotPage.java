// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.List;
import java.util.Optional;

/**
 * A page of a snapshot. The pages of one snapshot may be of different versions. They form a
 * consistent state only together with all changes after the first page's version, up to the newest
 * page's version.
 *
 * @param at the position of the state from which the page was read
 * @param resources the resources, in the order of their keys
 * @param next the key at which the next page begins; empty on the last page
 * @param unreadable the entries that the reader could not decode; not part of the message
 */
public record SnapshotPage(
        LogPosition at,
        List<Resource> resources,
        Optional<ResourceKey> next,
        List<UnreadableResource> unreadable) {

    /** Creates a page without unreadable entries. */
    public SnapshotPage(LogPosition at, List<Resource> resources, Optional<ResourceKey> next) {
        this(at, resources, next, List.of());
    }
}
