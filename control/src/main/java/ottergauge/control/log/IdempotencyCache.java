// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Caches the outcomes of the latest submissions by idempotency key (the submission's id). Accepted
 * and rejected outcomes have separate limits, so that a client that repeatedly sends invalid
 * submissions can't evict the accepted ones.
 */
final class IdempotencyCache {

    // These limits have to be the same in all processes of a group, because they decide whether a
    // retry becomes a new change.
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

    /**
     * All entries: the accepted ones, then the rejected ones, each oldest first. Inserting them in
     * this order into an empty cache reproduces this cache.
     */
    List<CachedOutcome> all() {
        List<CachedOutcome> all = new ArrayList<>(accepted.size() + rejected.size());
        accepted.forEach((id, outcome) -> all.add(new CachedOutcome(id, outcome)));
        rejected.forEach((id, outcome) -> all.add(new CachedOutcome(id, outcome)));
        return all;
    }

    /** A map that evicts its oldest entry when it exceeds the maximum number of entries. */
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
