// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.List;
import java.util.Optional;

/**
 * A page of a snapshot. The pages of one snapshot may be of different versions: they make up one
 * state only together with all changes after the first page's version, up to the newest page's.
 *
 * @param at the position of the state that the page was made of
 * @param resources the resources, in the order of their keys
 * @param next the key that the next page begins at; empty on the last page
 * @param unreadable the entries that a reader could not decode; never written
 */
public record SnapshotPage(
        LogPosition at,
        List<Resource> resources,
        Optional<ResourceKey> next,
        List<UnreadableResource> unreadable) {

    /** A page with nothing unreadable in it. */
    public SnapshotPage(LogPosition at, List<Resource> resources, Optional<ResourceKey> next) {
        this(at, resources, next, List.of());
    }
}
