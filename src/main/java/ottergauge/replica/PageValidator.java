// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.SnapshotPage;
import ottergauge.resources.UnreadableChange;

/**
 * Says why a page can't be what a log holds: its parts are out of order, or end before they begin.
 */
final class PageValidator {

    private PageValidator() {}

    /** What is wrong with the versions of a page of changes, if anything is. */
    static Optional<String> error(ChangePage page) {
        Set<Long> versions = new HashSet<>();
        long before = 0;
        for (Change change : page.changes()) {
            if (change.version() <= before) {
                return Optional.of("change " + change.version() + " comes after " + before);
            }
            before = change.version();
            versions.add(before);
        }
        long last = before;
        before = 0;
        for (UnreadableChange change : page.unreadable()) {
            if (change.version() <= before || !versions.add(change.version())) {
                return Optional.of("change " + change.version() + " is out of order");
            }
            before = change.version();
        }
        return Math.max(last, before) <= page.upTo().version()
                ? Optional.empty()
                : Optional.of("it has changes past its version " + page.upTo().version());
    }

    /**
     * What is wrong with the keys and versions of a page that was to begin at a key, if anything
     * is.
     */
    static Optional<String> error(SnapshotPage page, Optional<ResourceKey> from) {
        ResourceKey before = null;
        for (Resource resource : page.resources()) {
            ResourceKey key = resource.key();
            if ((before != null && key.compareTo(before) <= 0) || isBefore(key, from)) {
                return Optional.of(key + " is out of order");
            }
            if (resource.version() > page.at().version()) {
                return Optional.of(key + " is newer than the page");
            }
            before = key;
        }
        if (page.next().isPresent()) {
            ResourceKey next = page.next().get();
            boolean advances = from.isEmpty() || next.compareTo(from.get()) > 0;
            if (!advances || (before != null && next.compareTo(before) <= 0)) {
                return Optional.of("the next page would begin at " + next);
            }
        }
        return Optional.empty();
    }

    private static boolean isBefore(ResourceKey key, Optional<ResourceKey> from) {
        return from.isPresent() && key.compareTo(from.get()) < 0;
    }
}
