// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.List;
import ottergauge.resources.Change;
import ottergauge.resources.Subscription;

/** A change of the log, or that part of one which a subscription follows. */
record StoredChange(long version, List<StoredResource> puts, List<Change.Delete> deletes) {

    /** The part that this subscription follows; the change itself if that is all of it. */
    StoredChange followedBy(Subscription subscription) {
        List<StoredResource> followedPuts =
                puts.stream()
                        .filter(put -> subscription.matches(put.key(), put.service()))
                        .toList();
        List<Change.Delete> followedDeletes =
                deletes.stream()
                        .filter(delete -> subscription.matches(delete.key(), delete.service()))
                        .toList();
        boolean whole =
                followedPuts.size() == puts.size() && followedDeletes.size() == deletes.size();
        return whole ? this : new StoredChange(version, followedPuts, followedDeletes);
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
