// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ottergauge.resources.Change;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.Subscription;

/** Applies the state changes of a replica and checks each resulting state against the logs. */
final class EffectiveStateChecker {

    private final Map<String, ModelLog> logs;
    private final Subscription subscription;
    private final boolean exact;
    private final boolean restoresOther;
    private final List<String> eventLog;
    private Map<ResourceKey, Resource> state;
    private LogPosition position;

    /**
     * Creates a checker without a state.
     *
     * @param exact whether each state must equal the state of the log, because the log has no
     *     changes that the replica rejects
     * @param restoresOther whether the replica starts from a stored state with another subscription
     *     or of an unknown log; the first state is then not compared with the log
     * @param eventLog the events so far, for failure messages
     */
    EffectiveStateChecker(
            Map<String, ModelLog> logs,
            Subscription subscription,
            boolean exact,
            boolean restoresOther,
            List<String> eventLog) {
        this.logs = logs;
        this.subscription = subscription;
        this.exact = exact;
        this.restoresOther = restoresOther;
        this.eventLog = eventLog;
    }

    Map<ResourceKey, Resource> state() {
        return state;
    }

    /**
     * Applies a change and checks the resulting state: the version doesn't decrease and no rejected
     * value is effective. If the checker is exact, the state must also equal the state of the log
     * at that version.
     */
    void apply(StateChange change) {
        if (change.full()) {
            assertEquals(null, state, "a full state after the first state");
            state = new TreeMap<>();
        }
        assertNotNull(state, "a difference before the first state");
        assertFalse(
                !change.full() && change.puts().isEmpty() && change.deletes().isEmpty(),
                "an empty change");
        assertVersionDoesNotDecrease(change.position());
        for (Resource resource : change.puts()) {
            Resource before = state.put(resource.key(), resource);
            assertNotEquals(
                    resource.value(), before == null ? null : before.value(), "no difference");
        }
        for (Change.Delete delete : change.deletes()) {
            assertNotNull(state.remove(delete.key()), "deletes a resource that does not exist");
        }
        position = change.position();
        if (exact && !(change.full() && restoresOther)) {
            assertEquals(
                    values(
                            logs.get(position.log())
                                    .stateAt(position.version(), subscription, false)),
                    values(state),
                    "not the state of " + position + ": " + eventLog);
        }
        assertTrue(
                state.values().stream()
                        .noneMatch(each -> ModelChanges.hasInvalidWeight(each.value())),
                "a rejected value is effective");
    }

    private void assertVersionDoesNotDecrease(LogPosition next) {
        assertTrue(logs.containsKey(next.log()) || restoresOther, "unknown log");
        if (position != null && position.log().equals(next.log())) {
            assertTrue(next.version() >= position.version(), "version decreases to " + next);
        }
    }

    static Map<ResourceKey, Object> values(Map<ResourceKey, Resource> state) {
        Map<ResourceKey, Object> values = new TreeMap<>();
        state.forEach((key, resource) -> values.put(key, resource.value()));
        return values;
    }
}
