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
 * Checks that the versions and keys of a page are in ascending order and within the page's range.
 */
final class PageValidator {

    private PageValidator() {}

    /** The first error in the versions of a page of changes, if there is any. */
    static Optional<ResponseError> error(ChangePage page) {
        Set<Long> versions = new HashSet<>();
        long previous = 0;
        for (Change change : page.changes()) {
            if (change.version() <= previous) {
                return Optional.of(new ResponseError.ChangeOutOfOrder(change.version()));
            }
            previous = change.version();
            versions.add(previous);
        }
        long lastReadable = previous;
        previous = 0;
        for (UnreadableChange change : page.unreadable()) {
            if (change.version() <= previous || !versions.add(change.version())) {
                return Optional.of(new ResponseError.ChangeOutOfOrder(change.version()));
            }
            previous = change.version();
        }
        long last = Math.max(lastReadable, previous);
        long upTo = page.upTo().version();
        return last <= upTo
                ? Optional.empty()
                : Optional.of(new ResponseError.ChangePastPage(last, upTo));
    }

    /**
     * The first error in the keys and versions of a snapshot page, if there is any.
     *
     * @param from the key from which the page was queried; empty for the first page
     */
    static Optional<ResponseError> error(SnapshotPage page, Optional<ResourceKey> from) {
        Optional<ResourceKey> previous = Optional.empty();
        for (Resource resource : page.resources()) {
            ResourceKey key = resource.key();
            if (!isAfter(key, previous) || isBefore(key, from)) {
                return Optional.of(new ResponseError.ResourceOutOfOrder(key));
            }
            if (resource.version() > page.at().version()) {
                return Optional.of(new ResponseError.ResourcePastPage(key, page.at().version()));
            }
            previous = Optional.of(key);
        }
        Optional<ResourceKey> last = previous;
        return page.next()
                .filter(next -> !isAfter(next, from) || !isAfter(next, last))
                .map(ResponseError.NextPageOutOfOrder::new);
    }

    private static boolean isAfter(ResourceKey key, Optional<ResourceKey> other) {
        return other.isEmpty() || key.compareTo(other.get()) > 0;
    }

    private static boolean isBefore(ResourceKey key, Optional<ResourceKey> other) {
        return other.isPresent() && key.compareTo(other.get()) < 0;
    }
}
