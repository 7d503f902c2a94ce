// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import ottergauge.replica.ReplicaEffect.ApplyState;
import ottergauge.replica.ReplicaEffect.Report;
import ottergauge.replica.ReplicaEffect.StartTimer;
import ottergauge.replica.ReplicaEffect.StoreState;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;

/**
 * The state that the node has applied. Owns the resources, the log position and the timer that
 * limits how often the state is stored. A page or a snapshot takes effect as a unit: one effect
 * carries all differences from the previous state.
 */
final class EffectiveState {

    private final ReplicaConfig config;
    private final Function<Change, Optional<FieldError>> check;
    private final Consumer<ReplicaEffect> effects;
    private ResourceTable table = new ResourceTable();

    /** Empty until the first state is applied. */
    private Optional<LogPosition> position = Optional.empty();

    private long rejectedVersion;
    private boolean changedSinceStored;
    private boolean storeTimerRunning;

    EffectiveState(
            ReplicaConfig config,
            Function<Change, Optional<FieldError>> check,
            Consumer<ReplicaEffect> effects) {
        this.config = config;
        this.check = check;
        this.effects = effects;
    }

    Optional<LogPosition> position() {
        return position;
    }

    /** The effective version if the state is of this log; otherwise 0. */
    long versionIn(String log) {
        return position.filter(each -> each.log().equals(log)).map(LogPosition::version).orElse(0L);
    }

    private long version() {
        return position.map(LogPosition::version).orElse(0L);
    }

    /** The version of the change or snapshot page that was most recently rejected; 0 for none. */
    long rejectedVersion() {
        return rejectedVersion;
    }

    int size() {
        return table.size();
    }

    long bytes() {
        return table.bytes();
    }

    /**
     * Applies a stored state.
     *
     * @return whether it is complete, so that changes can be applied on top of it
     */
    boolean restore(StoredState stored) {
        boolean complete = stored.subscription().equals(config.subscription());
        for (Resource resource : stored.resources()) {
            if (config.subscription().matches(resource.key(), resource.value().service())) {
                complete &= restore(resource);
            }
        }
        position = Optional.of(stored.position());
        emit(new StateChange(stored.position(), true, List.copyOf(table.all()), List.of()));
        return complete;
    }

    private boolean restore(Resource resource) {
        Optional<FieldError> error = check.apply(resource.asChange());
        if (error.isPresent()) {
            report(new ReplicaReport.ResourceRejected(Optional.of(resource.key()), error.get()));
            return false;
        }
        if (table.size() >= config.limits().maxResources()
                || table.bytes() >= config.limits().maxBytes()) {
            return false;
        }
        table.put(resource);
        return true;
    }

    /**
     * Applies a page of changes that starts at or before the effective position. Changes up to this
     * position are skipped.
     */
    void apply(ChangePage page) {
        ChangeBatch batch = new ChangeBatch(table, config.subscription(), config.limits());
        for (ValidatedChange change : ValidatedChange.of(page, check)) {
            if (change.version() > version()) {
                Optional<FieldError> error = addTo(batch, change);
                error.ifPresent(found -> reject(change.version(), found));
            }
        }
        boolean advances = page.upTo().version() > version();
        StateChange change = batch.commit(page.upTo());
        position = Optional.of(page.upTo());
        if (!change.isEmpty()) {
            emit(change);
        }
        if (advances) {
            scheduleStore();
        }
    }

    private static Optional<FieldError> addTo(ChangeBatch batch, ValidatedChange change) {
        return change instanceof ValidatedChange.Valid valid
                ? batch.add(valid.change())
                : Optional.of(((ValidatedChange.Invalid) change).error());
    }

    /** Records and reports a change that is not applied. */
    void reject(long version, FieldError error) {
        rejectedVersion = version;
        report(new ReplicaReport.ChangeRejected(version, error));
    }

    /** Records and reports an entry of a snapshot page of this version that is not applied. */
    void reject(ReplicaReport.ResourceRejected entry, long pageVersion) {
        rejectedVersion = pageVersion;
        report(entry);
    }

    /**
     * Replaces the state with a snapshot. A resource whose new value was rejected keeps its
     * effective value.
     */
    void replaceWith(SnapshotAssembly snapshot) {
        ResourceTable next = snapshot.table();
        snapshot.rejected().forEach(key -> table.get(key).ifPresent(next::put));
        boolean first = position.isEmpty();
        ResourceTable before = table;
        table = next;
        position = Optional.of(snapshot.reached());
        StateChange change =
                new StateChange(snapshot.reached(), first, putsSince(before), deletesSince(before));
        if (first || !change.isEmpty()) {
            emit(change);
        }
        scheduleStore();
    }

    private List<Resource> putsSince(ResourceTable before) {
        List<Resource> puts = new ArrayList<>();
        for (Resource resource : table.all()) {
            Optional<Resource> old = before.get(resource.key());
            if (old.isEmpty() || !old.get().value().equals(resource.value())) {
                puts.add(resource);
            }
        }
        return puts;
    }

    private List<Change.Delete> deletesSince(ResourceTable before) {
        List<Change.Delete> deletes = new ArrayList<>();
        for (Resource resource : before.all()) {
            if (table.get(resource.key()).isEmpty()) {
                deletes.add(new Change.Delete(resource.key(), resource.value().service()));
            }
        }
        return deletes;
    }

    private void emit(StateChange change) {
        effects.accept(new ApplyState(change));
        report(
                new ReplicaReport.StateEffective(
                        change.position(), change.puts().size(), change.deletes().size()));
    }

    private void report(ReplicaReport report) {
        effects.accept(new Report(report));
    }

    // ---- Stored copies

    private void scheduleStore() {
        changedSinceStored = true;
        if (config.storeIntervalMicros() > 0 && !storeTimerRunning) {
            storeTimerRunning = true;
            effects.accept(
                    new StartTimer(config.storeIntervalMicros(), new ReplicaTimer.StoreStateDue()));
        }
    }

    void storeStateDue() {
        storeTimerRunning = false;
        storeIfChanged();
    }

    /** Emits an effect that stores the state, if the state changed since it was last stored. */
    void storeIfChanged() {
        if (changedSinceStored && config.storeIntervalMicros() > 0 && position.isPresent()) {
            changedSinceStored = false;
            List<Resource> resources = List.copyOf(table.all());
            effects.accept(
                    new StoreState(
                            new StoredState(position.get(), config.subscription(), resources)));
        }
    }
}
