// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The outcomes of the latest submissions by idempotency key (the submission's id). Accepted and
 * rejected ones are bounded separately, so that a caller that repeats bad submissions can't evict
 * the accepted ones.
 */
final class IdempotencyCache {

    // Equal in all processes of a group, since they decide whether a retry is a new change.
    static final int MAX_ACCEPTED = 10_000;
    static final int MAX_REJECTED = 200;

    /** A submission's id and its outcome. */
    record CachedOutcome(String id, SubmissionOutcome outcome) {}

    private final Map<String, SubmissionOutcome> accepted = new BoundedMap(MAX_ACCEPTED);
    private final Map<String, SubmissionOutcome> rejected = new BoundedMap(MAX_REJECTED);

    Optional<SubmissionOutcome> get(String id) {
        SubmissionOutcome outcome = accepted.get(id);
        return Optional.ofNullable(outcome != null ? outcome : rejected.get(id));
    }

    void put(String id, SubmissionOutcome outcome) {
        boolean isAccepted = outcome instanceof SubmissionOutcome.Accepted;
        (isAccepted ? accepted : rejected).put(id, outcome);
    }

    /** All entries, each group oldest first: put in this order, they give an equal cache. */
    List<CachedOutcome> all() {
        List<CachedOutcome> all = new ArrayList<>(accepted.size() + rejected.size());
        accepted.forEach((id, outcome) -> all.add(new CachedOutcome(id, outcome)));
        rejected.forEach((id, outcome) -> all.add(new CachedOutcome(id, outcome)));
        return all;
    }

    /** Evicts the entry that was inserted first once there are more than the maximum. */
    private static final class BoundedMap extends LinkedHashMap<String, SubmissionOutcome> {

        private static final long serialVersionUID = 1L;
        private final int maxEntries;

        BoundedMap(int maxEntries) {
            this.maxEntries = maxEntries;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, SubmissionOutcome> eldest) {
            return size() > maxEntries;
        }
    }
}
