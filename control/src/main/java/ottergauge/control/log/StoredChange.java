// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.List;
import ottergauge.resources.Change;
import ottergauge.resources.Resource;
import ottergauge.resources.Subscription;

/** A change of the log with encoded values, or the part of one that a subscription follows. */
record StoredChange(long version, List<StoredResource> puts, List<Change.Delete> deletes) {

    static StoredChange of(Change change) {
        List<StoredResource> puts =
                change.puts().stream()
                        .map(put -> new Resource(put.key(), change.version(), put.value()))
                        .map(StoredResource::of)
                        .toList();
        return new StoredChange(change.version(), puts, change.deletes());
    }

    /** The part that the subscription follows; this instance if that is all of it. */
    StoredChange followedBy(Subscription subscription) {
        List<StoredResource> followedPuts =
                puts.stream()
                        .filter(put -> subscription.matches(put.key(), put.service()))
                        .toList();
        List<Change.Delete> followedDeletes =
                deletes.stream()
                        .filter(delete -> subscription.matches(delete.key(), delete.service()))
                        .toList();
        boolean followsAll =
                followedPuts.size() == puts.size() && followedDeletes.size() == deletes.size();
        return followsAll ? this : new StoredChange(version, followedPuts, followedDeletes);
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
