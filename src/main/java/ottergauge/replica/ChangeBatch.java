// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import ottergauge.resources.Change;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.Subscription;

/**
 * Collects the newest value of each resource that one page of changes modifies, so that the page
 * takes effect as a unit. A change that a later change of the same page reverts has no effect.
 */
final class ChangeBatch {

    private final ResourceTable table;
    private final Subscription subscription;
    private final ReplicaLimits limits;

    /** The new value of each modified resource; empty for a deleted one. */
    private final Map<ResourceKey, Optional<Resource>> newValues = new TreeMap<>();

    private int size;
    private long bytes;

    ChangeBatch(ResourceTable table, Subscription subscription, ReplicaLimits limits) {
        this.table = table;
        this.subscription = subscription;
        this.limits = limits;
        size = table.size();
        bytes = table.bytes();
    }

    /** Adds a change. If the change would exceed a limit, adds none of it and returns the error. */
    Optional<FieldError> add(Change change) {
        int sizeBefore = size;
        long bytesBefore = bytes;
        Map<ResourceKey, Optional<Resource>> before = new TreeMap<>();
        for (Change.Put put : change.puts()) {
            boolean subscribed = subscription.matches(put.key(), put.value().service());
            set(
                    put.key(),
                    subscribed
                            ? Optional.of(new Resource(put.key(), change.version(), put.value()))
                            : Optional.empty(),
                    before);
        }
        for (Change.Delete delete : change.deletes()) {
            set(delete.key(), Optional.empty(), before);
        }
        Optional<FieldError> error = limitError(sizeBefore, bytesBefore);
        if (error.isPresent()) {
            before.forEach((key, value) -> newValues.put(key, value));
            size = sizeBefore;
            bytes = bytesBefore;
        }
        return error;
    }

    private void set(
            ResourceKey key,
            Optional<Resource> value,
            Map<ResourceKey, Optional<Resource>> before) {
        Optional<Resource> old = newValues.getOrDefault(key, table.get(key));
        before.putIfAbsent(key, old);
        newValues.put(key, value);
        size += (value.isPresent() ? 1 : 0) - (old.isPresent() ? 1 : 0);
        bytes += value.map(ResourceSize::of).orElse(0L) - old.map(ResourceSize::of).orElse(0L);
    }

    private Optional<FieldError> limitError(int sizeBefore, long bytesBefore) {
        if (size > limits.maxResources() && size > sizeBefore) {
            return Optional.of(
                    new FieldError(
                            "resources", Integer.toString(size), "up to " + limits.maxResources()));
        }
        if (bytes > limits.maxBytes() && bytes > bytesBefore) {
            return Optional.of(
                    new FieldError("bytes", Long.toString(bytes), "up to " + limits.maxBytes()));
        }
        return Optional.empty();
    }

    /** Applies the batch to the table and returns the resources whose values changed. */
    StateChange commit(LogPosition position) {
        List<Resource> puts = new ArrayList<>();
        List<Change.Delete> deletes = new ArrayList<>();
        newValues.forEach(
                (key, value) -> {
                    Optional<Resource> old = table.get(key);
                    if (value.isPresent()) {
                        table.put(value.get());
                        if (old.isEmpty() || !old.get().value().equals(value.get().value())) {
                            puts.add(value.get());
                        }
                    } else if (old.isPresent()) {
                        table.remove(key);
                        deletes.add(new Change.Delete(key, old.get().value().service()));
                    }
                });
        return new StateChange(position, false, puts, deletes);
    }
}
