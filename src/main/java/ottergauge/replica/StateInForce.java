// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import ottergauge.replica.ReplicaEffect.Keep;
import ottergauge.replica.ReplicaEffect.Report;
import ottergauge.replica.ReplicaEffect.StartTimer;
import ottergauge.replica.ReplicaEffect.TakeOver;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;

/**
 * The state that the node goes by: what comes in force does so whole, and only what differs is
 * told.
 */
final class StateInForce {

    private final ReplicaConfig config;
    private final Function<Change, Optional<FieldError>> check;
    private final Consumer<ReplicaEffect> effects;
    private ResourceTable table = new ResourceTable();

    /** Empty until a first state is in force. */
    private Optional<LogPosition> position = Optional.empty();

    private long refused;

    /** Whether anything has changed since a state was handed out to be kept. */
    private boolean unkept;

    private boolean keepTimerRuns;

    StateInForce(
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

    long refused() {
        return refused;
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
        tell(new StateChange(stored.position(), true, List.copyOf(table.all()), List.of()));
        return complete;
    }

    private boolean restore(Resource resource) {
        Optional<FieldError> fault =
                check.apply(
                        new Change(
                                resource.version(),
                                List.of(new Change.Put(resource.key(), resource.value())),
                                List.of()));
        if (fault.isPresent()) {
            report(new ReplicaReport.ResourceRefused(Optional.of(resource.key()), fault.get()));
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
        PendingChanges pending = new PendingChanges(table, config.subscription(), config.limits());
        for (CheckedChange each : CheckedChange.of(page, check)) {
            if (each.version() > version()) {
                Optional<FieldError> fault =
                        each.fault().isPresent() ? each.fault() : pending.add(each.change());
                fault.ifPresent(found -> refuse(each.version(), found));
            }
        }
        boolean advances = page.upTo().version() > version();
        StateChange change = pending.commit(page.upTo());
        position = Optional.of(page.upTo());
        if (!change.puts().isEmpty() || !change.deletes().isEmpty()) {
            tell(change);
        }
        if (advances) {
            keepLater();
        }
    }

    /** Refuses changes that were read while a snapshot was put together. */
    void refuse(long version, FieldError fault) {
        refused = version;
        report(new ReplicaReport.ChangeRefused(version, fault));
    }

    void refuse(ReplicaReport.ResourceRefused entry, long version) {
        refused = version;
        report(entry);
    }

    /** Goes by the state of a snapshot from now on. */
    void replaceWith(SnapshotAssembly snapshot) {
        ResourceTable next = snapshot.table();
        for (var entry : snapshot.refused().entrySet()) {
            table.get(entry.getKey()).ifPresent(next::put);
        }
        boolean first = position.isEmpty();
        ResourceTable before = table;
        table = next;
        position = Optional.of(snapshot.reached());
        StateChange change =
                new StateChange(snapshot.reached(), first, putsSince(before), deletesSince(before));
        if (first || !change.puts().isEmpty() || !change.deletes().isEmpty()) {
            tell(change);
        }
        keepLater();
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

    private void tell(StateChange change) {
        effects.accept(new TakeOver(change));
        report(
                new ReplicaReport.StateInForce(
                        change.position(), change.puts().size(), change.deletes().size()));
    }

    private void report(ReplicaReport report) {
        effects.accept(new Report(report));
    }

    // ---- Kept for the next process
    // -------------------------------------------------------------------

    private void keepLater() {
        unkept = true;
        if (config.keepEvery() > 0 && !keepTimerRuns) {
            keepTimerRuns = true;
            effects.accept(new StartTimer(config.keepEvery(), new ReplicaTimer.KeepDue()));
        }
    }

    void keepDue() {
        keepTimerRuns = false;
        keepNow();
    }

    /** Hands out the state if that was not done since it changed. */
    void keepNow() {
        if (unkept && config.keepEvery() > 0 && position.isPresent()) {
            unkept = false;
            effects.accept(
                    new Keep(
                            new StoredState(
                                    position.get(),
                                    config.subscription(),
                                    List.copyOf(table.all()))));
        }
    }
}
