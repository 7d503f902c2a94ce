// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The outcomes of the last submissions, by id. Accepted and refused ones have bounds of their own,
 * so that a caller that keeps sending bad submissions can't have the accepted ones forgotten.
 */
final class IdempotencyCache {

    // The same for all processes of a group: it decides whether a repetition is a change.
    static final int MAX_ACCEPTED = 10_000;
    static final int MAX_REJECTED = 200;

    /** A submission's id and what became of it. */
    record CachedOutcome(String id, SubmissionOutcome outcome) {}

    private final Map<String, SubmissionOutcome> accepted = new BoundedMap(MAX_ACCEPTED);
    private final Map<String, SubmissionOutcome> refused = new BoundedMap(MAX_REJECTED);

    Optional<SubmissionOutcome> of(String id) {
        SubmissionOutcome outcome = accepted.get(id);
        return Optional.ofNullable(outcome != null ? outcome : refused.get(id));
    }

    void remember(String id, SubmissionOutcome outcome) {
        boolean wasAccepted = outcome instanceof SubmissionOutcome.Accepted;
        (wasAccepted ? accepted : refused).put(id, outcome);
    }

    /** All that is remembered, in an order in which it can be remembered again. */
    List<CachedOutcome> all() {
        List<CachedOutcome> all = new ArrayList<>(accepted.size() + refused.size());
        accepted.forEach((id, outcome) -> all.add(new CachedOutcome(id, outcome)));
        refused.forEach((id, outcome) -> all.add(new CachedOutcome(id, outcome)));
        return all;
    }

    /** Forgets the entry that came first when there are too many. */
    private static final class BoundedMap extends LinkedHashMap<String, SubmissionOutcome> {

        private static final long serialVersionUID = 1L;
        private final int most;

        BoundedMap(int most) {
            this.most = most;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, SubmissionOutcome> eldest) {
            return size() > most;
        }
    }
}
