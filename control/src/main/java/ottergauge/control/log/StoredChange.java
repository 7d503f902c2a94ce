// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.List;
import ottergauge.resources.Change;
import ottergauge.resources.Resource;
import ottergauge.resources.Subscription;

/**
 * A change of the log with encoded values, or the part of such a change that matches a
 * subscription.
 */
record StoredChange(long version, List<StoredResource> puts, List<Change.Delete> deletes) {

    static StoredChange of(Change change) {
        List<StoredResource> puts =
                change.puts().stream()
                        .map(put -> new Resource(put.key(), change.version(), put.value()))
                        .map(StoredResource::of)
                        .toList();
        return new StoredChange(change.version(), puts, change.deletes());
    }

    /**
     * Returns the part that matches the subscription; this instance if the complete change matches.
     */
    StoredChange filteredBy(Subscription subscription) {
        List<StoredResource> matchingPuts =
                puts.stream()
                        .filter(put -> subscription.matches(put.key(), put.service()))
                        .toList();
        List<Change.Delete> matchingDeletes =
                deletes.stream()
                        .filter(delete -> subscription.matches(delete.key(), delete.service()))
                        .toList();
        boolean matchesAll =
                matchingPuts.size() == puts.size() && matchingDeletes.size() == deletes.size();
        return matchesAll ? this : new StoredChange(version, matchingPuts, matchingDeletes);
    }

    boolean isEmpty() {
        return puts.isEmpty() && deletes.isEmpty();
    }

    Change change() {
        List<Change.Put> values =
                puts.stream().map(put -> new Change.Put(put.key(), put.value())).toList();
        return new Change(version, values, deletes);
    }
}
