// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.List;
import java.util.Optional;

/**
 * A page of the state, in the order of the keys, as it was at {@code at}. Pages may be of different
 * versions: they make one state only with all changes after the first page's version, up to the
 * last page's at least. {@code next} is where the following page begins; empty on the last one.
 * {@code unreadable} are the entries that a reader could not make out; they are never written.
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
