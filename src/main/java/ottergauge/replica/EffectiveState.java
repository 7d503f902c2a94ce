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
 * The state that the node goes by: what comes in force does so whole, and only what differs is
 * told.
 */
final class EffectiveState {

    private final ReplicaConfig config;
    private final Function<Change, Optional<FieldError>> check;
    private final Consumer<ReplicaEffect> effects;
    private ResourceTable table = new ResourceTable();

    /** Empty until a first state is in force. */
    private Optional<LogPosition> position = Optional.empty();

    private long rejected;

    /** Whether anything has changed since a state was handed out to be kept. */
    private boolean unstored;

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

    /** The version in force of a log; 0 if it is another one's. */
    long versionOf(String log) {
        return position.filter(each -> each.log().equals(log)).map(LogPosition::version).orElse(0L);
    }

    long version() {
        return position.map(LogPosition::version).orElse(0L);
    }

    long rejected() {
        return rejected;
    }

    int size() {
        return table.size();
    }

    long bytes() {
        return table.bytes();
    }

    /**
     * Takes over a state that was kept. Changes can follow on it only if nothing is missing from
     * it: otherwise false is given back.
     */
    boolean restore(StoredState stored) {
        boolean complete = stored.subscription().equals(config.subscription());
        for (Resource resource : stored.resources()) {
            if (config.subscription().matches(resource.key(), resource.value().service())) {
                complete &= restore(resource);
            }
        }
        position = Optional.of(stored.position());
        apply(new StateChange(stored.position(), true, List.copyOf(table.all()), List.of()));
        return complete;
    }

    private boolean restore(Resource resource) {
        Optional<FieldError> error =
                check.apply(
                        new Change(
                                resource.version(),
                                List.of(new Change.Put(resource.key(), resource.value())),
                                List.of()));
        if (error.isPresent()) {
            report(new ReplicaReport.ResourceRejected(Optional.of(resource.key()), error.get()));
            return false;
        }
        if (table.size() >= config.limits().resources()
                || table.bytes() >= config.limits().bytes()) {
            return false;
        }
        table.put(resource);
        return true;
    }

    /** Takes a page of changes that begins at the position in force. */
    void apply(ChangePage page) {
        ChangeBatch pending = new ChangeBatch(table, config.subscription(), config.limits());
        for (ValidatedChange each : ValidatedChange.of(page, check)) {
            if (each.version() > version()) {
                Optional<FieldError> error =
                        each.error().isPresent() ? each.error() : pending.add(each.change());
                error.ifPresent(found -> reject(each.version(), found));
            }
        }
        boolean advances = page.upTo().version() > version();
        StateChange change = pending.commit(page.upTo());
        position = Optional.of(page.upTo());
        if (!change.puts().isEmpty() || !change.deletes().isEmpty()) {
            apply(change);
        }
        if (advances) {
            scheduleStore();
        }
    }

    /** Refuses changes that were read while a snapshot was put together. */
    void reject(long version, FieldError error) {
        rejected = version;
        report(new ReplicaReport.ChangeRejected(version, error));
    }

    void reject(ReplicaReport.ResourceRejected entry, long version) {
        rejected = version;
        report(entry);
    }

    /** Goes by the state of a snapshot from now on. */
    void replaceWith(SnapshotAssembly snapshot) {
        ResourceTable next = snapshot.table();
        for (var entry : snapshot.rejected().entrySet()) {
            table.get(entry.getKey()).ifPresent(next::put);
        }
        boolean first = position.isEmpty();
        ResourceTable before = table;
        table = next;
        position = Optional.of(snapshot.reached());
        StateChange change =
                new StateChange(snapshot.reached(), first, putsSince(before), deletesSince(before));
        if (first || !change.puts().isEmpty() || !change.deletes().isEmpty()) {
            apply(change);
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

    private void apply(StateChange change) {
        effects.accept(new ApplyState(change));
        report(
                new ReplicaReport.StateEffective(
                        change.position(), change.puts().size(), change.deletes().size()));
    }

    private void report(ReplicaReport report) {
        effects.accept(new Report(report));
    }

    // ---- Kept for the next process
    // -------------------------------------------------------------------

    private void scheduleStore() {
        unstored = true;
        if (config.storeIntervalMicros() > 0 && !storeTimerRunning) {
            storeTimerRunning = true;
            effects.accept(
                    new StartTimer(config.storeIntervalMicros(), new ReplicaTimer.StoreStateDue()));
        }
    }

    void onStoreTimer() {
        storeTimerRunning = false;
        storeIfChanged();
    }

    /** Hands out the state if that was not done since it changed. */
    void storeIfChanged() {
        if (unstored && config.storeIntervalMicros() > 0 && position.isPresent()) {
            unstored = false;
            effects.accept(
                    new StoreState(
                            new StoredState(
                                    position.get(),
                                    config.subscription(),
                                    List.copyOf(table.all()))));
        }
    }
}
