// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Function;
import ottergauge.resources.Change;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.SnapshotPage;
import ottergauge.resources.Subscription;
import ottergauge.resources.UnreadableResource;

/**
 * A state that is being put together from the pages of a snapshot, which may be of different
 * versions, and from the changes after the first page's version, in their order. A change that is
 * older than the page that its resource came with sets it back for a moment, until the changes that
 * led to the page's value have come: the state is one version's once the changes are in up to the
 * newest page's version.
 */
final class SnapshotAssembly {

    private final Subscription subscription;
    private final Function<Change, Optional<FieldError>> check;
    private final String log;
    private final ResourceTable table = new ResourceTable();

    /**
     * Resources that keep the value in force, because theirs was refused: by the version of that.
     */
    private final Map<ResourceKey, Long> refused = new TreeMap<>();

    /**
     * The version that all changes are in up to: the first page's, until the first changes are
     * read.
     */
    private long reached;

    private long newestPage;
    private Optional<ResourceKey> next = Optional.empty();
    private boolean pagesDone;

    /** Begins with what the first page is of. */
    SnapshotAssembly(
            LogPosition first,
            Subscription subscription,
            Function<Change, Optional<FieldError>> check) {
        this.subscription = subscription;
        this.check = check;
        log = first.log();
        reached = first.version();
        newestPage = first.version();
    }

    LogPosition reached() {
        return new LogPosition(log, reached);
    }

    /** The version that all later pages have at least. */
    long firstVersion() {
        return reached;
    }

    Optional<ResourceKey> next() {
        return next;
    }

    /** Whether all pages are in. */
    boolean hasAllPages() {
        return pagesDone;
    }

    /** Whether the state is one version's. */
    boolean isWhole() {
        return pagesDone && reached >= newestPage;
    }

    int size() {
        return table.size() + refused.size();
    }

    long bytes() {
        return table.bytes();
    }

    ResourceTable table() {
        return table;
    }

    Map<ResourceKey, Long> refused() {
        return refused;
    }

    /** Adds the page that begins at {@link #next}; gives back what is wrong with entries of it. */
    List<ReplicaReport.ResourceRefused> add(SnapshotPage page) {
        newestPage = Math.max(newestPage, page.at().version());
        next = page.next();
        pagesDone = next.isEmpty();
        List<ReplicaReport.ResourceRefused> reports = new ArrayList<>();
        for (Resource resource : page.resources()) {
            if (subscription.matches(resource.key(), resource.value().service())) {
                Optional<FieldError> fault = fault(resource);
                if (fault.isEmpty()) {
                    table.put(resource);
                } else {
                    refused.put(resource.key(), resource.version());
                    reports.add(
                            new ReplicaReport.ResourceRefused(
                                    Optional.of(resource.key()), fault.get()));
                }
            }
        }
        for (UnreadableResource entry : page.unreadable()) {
            // Its version can't be known, but no change of it up to the page's can be newer.
            entry.key().ifPresent(key -> refused.put(key, page.at().version()));
            reports.add(new ReplicaReport.ResourceRefused(entry.key(), entry.error()));
        }
        return reports;
    }

    private Optional<FieldError> fault(Resource resource) {
        Change.Put put = new Change.Put(resource.key(), resource.value());
        return check.apply(new Change(resource.version(), List.of(put), List.of()));
    }

    /**
     * Takes the changes up to a version; those that were refused count for nothing, also where
     * pages had them.
     */
    void apply(List<CheckedChange> changes, long upTo) {
        Set<Long> refusedVersions = new HashSet<>();
        for (CheckedChange each : changes) {
            if (each.version() > reached && each.fault().isEmpty()) {
                apply(each.change());
            } else if (each.version() > reached) {
                refusedVersions.add(each.version());
            }
        }
        takeBack(refusedVersions);
        reached = Math.max(reached, upTo);
    }

    private void apply(Change change) {
        for (Change.Put put : change.puts()) {
            remove(put.key());
            if (subscription.matches(put.key(), put.value().service())) {
                table.put(new Resource(put.key(), change.version(), put.value()));
            }
        }
        for (Change.Delete delete : change.deletes()) {
            remove(delete.key());
        }
    }

    private void remove(ResourceKey key) {
        table.remove(key);
        refused.remove(key);
    }

    // A page that is newer than a refused change has what that put.
    private void takeBack(Set<Long> versions) {
        if (versions.isEmpty()) {
            return;
        }
        List<Resource> taken =
                table.all().stream().filter(each -> versions.contains(each.version())).toList();
        for (Resource resource : taken) {
            table.remove(resource.key());
            refused.put(resource.key(), resource.version());
        }
    }
}
