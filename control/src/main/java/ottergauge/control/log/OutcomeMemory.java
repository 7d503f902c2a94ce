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
final class OutcomeMemory {

    // The same for all processes of a group: it decides whether a repetition is a change.
    static final int MOST_ACCEPTED = 10_000;
    static final int MOST_REFUSED = 200;

    /** A submission's id and what became of it. */
    record Remembered(String id, Outcome outcome) {}

    private final Map<String, Outcome> accepted = new BoundedMap(MOST_ACCEPTED);
    private final Map<String, Outcome> refused = new BoundedMap(MOST_REFUSED);

    Optional<Outcome> of(String id) {
        Outcome outcome = accepted.get(id);
        return Optional.ofNullable(outcome != null ? outcome : refused.get(id));
    }

    void remember(String id, Outcome outcome) {
        boolean wasAccepted = outcome instanceof Outcome.Accepted;
        (wasAccepted ? accepted : refused).put(id, outcome);
    }

    /** All that is remembered, in an order in which it can be remembered again. */
    List<Remembered> all() {
        List<Remembered> all = new ArrayList<>(accepted.size() + refused.size());
        accepted.forEach((id, outcome) -> all.add(new Remembered(id, outcome)));
        refused.forEach((id, outcome) -> all.add(new Remembered(id, outcome)));
        return all;
    }

    /** Forgets the entry that came first when there are too many. */
    private static final class BoundedMap extends LinkedHashMap<String, Outcome> {

        private static final long serialVersionUID = 1L;
        private final int most;

        BoundedMap(int most) {
            this.most = most;
        }

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Outcome> eldest) {
            return size() > most;
        }
    }
}
