// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceValidator;
import ottergauge.resources.SnapshotPage;
import ottergauge.resources.Subscription;

/**
 * A model of a log of changes, and of the responses of its control processes. Computes each state
 * by applying all changes in order.
 */
final class ModelLog {

    private final String id;
    private final List<Change> changes = new ArrayList<>();

    ModelLog(String id) {
        this.id = id;
    }

    String id() {
        return id;
    }

    long version() {
        return changes.size();
    }

    /** Appends a change with the next version. */
    void append(List<Change.Put> puts, List<Change.Delete> deletes) {
        changes.add(new Change(version() + 1, puts, deletes));
    }

    /**
     * The state at a version. With {@code skipInvalid}, the state of a reader that rejects invalid
     * changes.
     */
    Map<ResourceKey, Resource> stateAt(long version, boolean skipInvalid) {
        Map<ResourceKey, Resource> state = new TreeMap<>();
        for (Change change : changes.subList(0, (int) version)) {
            if (!skipInvalid || ResourceValidator.firstError(change).isEmpty()) {
                change.puts()
                        .forEach(
                                put ->
                                        state.put(
                                                put.key(),
                                                new Resource(
                                                        put.key(), change.version(), put.value())));
                change.deletes().forEach(delete -> state.remove(delete.key()));
            }
        }
        return state;
    }

    /** The state at a version, restricted to the resources that match a subscription. */
    Map<ResourceKey, Resource> stateAt(
            long version, Subscription subscription, boolean skipInvalid) {
        Map<ResourceKey, Resource> state = stateAt(version, skipInvalid);
        state.values().removeIf(each -> !subscription.matches(each.key(), each.value().service()));
        return state;
    }

    /** The keys that the change with this version puts or deletes. */
    List<ResourceKey> modifiedBy(long version) {
        Change change = changes.get((int) version - 1);
        List<ResourceKey> keys = new ArrayList<>();
        change.puts().forEach(put -> keys.add(put.key()));
        change.deletes().forEach(delete -> keys.add(delete.key()));
        return keys;
    }

    boolean isInvalid(long version) {
        return ResourceValidator.firstError(changes.get((int) version - 1)).isPresent();
    }

    /**
     * A page of at most {@code max} changes, from a process that has reached version {@code
     * reached}.
     */
    ChangePage changes(long after, long reached, Subscription subscription, int max) {
        List<Change> page = new ArrayList<>();
        long upTo = after;
        while (upTo < reached && page.size() < max) {
            matching(changes.get((int) upTo), subscription).ifPresent(page::add);
            upTo++;
        }
        return new ChangePage(new LogPosition(id, upTo), page);
    }

    private static Optional<Change> matching(Change change, Subscription subscription) {
        List<Change.Put> puts =
                change.puts().stream()
                        .filter(put -> subscription.matches(put.key(), put.value().service()))
                        .toList();
        List<Change.Delete> deletes =
                change.deletes().stream()
                        .filter(delete -> subscription.matches(delete.key(), delete.service()))
                        .toList();
        return puts.isEmpty() && deletes.isEmpty()
                ? Optional.empty()
                : Optional.of(new Change(change.version(), puts, deletes));
    }

    /**
     * Whether a process that has reached version {@code reached} has changes after version {@code
     * after} that match a subscription.
     */
    boolean hasChanges(long after, long reached, Subscription subscription) {
        return !changes(after, reached, subscription, 1).changes().isEmpty();
    }

    /**
     * A page of at most {@code max} resources, from a process that has reached version {@code
     * reached}.
     */
    SnapshotPage snapshot(
            Optional<ResourceKey> from, long reached, Subscription subscription, int max) {
        List<Resource> rest =
                stateAt(reached, subscription, false).values().stream()
                        .filter(each -> from.isEmpty() || each.key().compareTo(from.get()) >= 0)
                        .toList();
        boolean last = rest.size() <= max;
        return new SnapshotPage(
                new LogPosition(id, reached),
                last ? rest : rest.subList(0, max),
                last ? Optional.empty() : Optional.of(rest.get(max).key()));
    }
}
