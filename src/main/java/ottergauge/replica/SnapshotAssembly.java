// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.ArrayList;
import java.util.Collection;
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
 * Assembles a state from the pages of a snapshot and from the changes after the first page's
 * version, in order. The pages may be of different versions.
 *
 * <p>A change that is older than the page of its resource temporarily reverts the resource to an
 * older value. Later changes restore the value of the page. The state is therefore consistent once
 * all changes up to the newest page's version have been applied ({@link #isComplete}).
 */
final class SnapshotAssembly {

    private final Subscription subscription;
    private final Function<Change, Optional<FieldError>> check;
    private final String log;
    private final ResourceTable table = new ResourceTable();

    /**
     * The version of each resource whose value was rejected. Such a resource keeps its effective
     * value.
     */
    private final Map<ResourceKey, Long> rejected = new TreeMap<>();

    /** All changes up to this version are included. Initially the version of the first page. */
    private long reached;

    private long newestPage;
    private Optional<ResourceKey> next = Optional.empty();
    private boolean allPages;

    /** An empty assembly at the position of the first page. */
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

    /** The position up to which all changes are included. */
    LogPosition reached() {
        return new LogPosition(log, reached);
    }

    /** The minimum version of every later page. */
    long firstVersion() {
        return reached;
    }

    /** The key at which the next page begins; empty before the first page and after the last. */
    Optional<ResourceKey> next() {
        return next;
    }

    /** Whether all pages have been added. */
    boolean hasAllPages() {
        return allPages;
    }

    /** Whether the state is consistent, that is, the state of a single version. */
    boolean isComplete() {
        return allPages && reached >= newestPage;
    }

    /** The number of resources, including those with a rejected value. */
    int size() {
        return table.size() + rejected.size();
    }

    long bytes() {
        return table.bytes();
    }

    ResourceTable table() {
        return table;
    }

    /** The resources whose values were rejected, in the order of the keys. */
    Collection<ResourceKey> rejected() {
        return rejected.keySet();
    }

    /** Adds the page that begins at {@link #next} and returns its rejected entries. */
    List<ReplicaReport.ResourceRejected> add(SnapshotPage page) {
        newestPage = Math.max(newestPage, page.at().version());
        next = page.next();
        allPages = next.isEmpty();
        List<ReplicaReport.ResourceRejected> reports = new ArrayList<>();
        for (Resource resource : page.resources()) {
            if (subscription.matches(resource.key(), resource.value().service())) {
                add(resource).ifPresent(reports::add);
            }
        }
        for (UnreadableResource entry : page.unreadable()) {
            // The version of the entry can't be read, but it is not newer than the page.
            entry.key().ifPresent(key -> rejected.put(key, page.at().version()));
            reports.add(new ReplicaReport.ResourceRejected(entry.key(), entry.error()));
        }
        return reports;
    }

    private Optional<ReplicaReport.ResourceRejected> add(Resource resource) {
        Optional<FieldError> error = check.apply(resource.asChange());
        if (error.isEmpty()) {
            table.put(resource);
        } else {
            rejected.put(resource.key(), resource.version());
        }
        Optional<ResourceKey> key = Optional.of(resource.key());
        return error.map(found -> new ReplicaReport.ResourceRejected(key, found));
    }

    /**
     * Applies the changes up to a version. An invalid change is not applied, but a page may already
     * have contained its values. They are removed, and their resources count as rejected.
     */
    void apply(List<ValidatedChange> changes, long upTo) {
        Set<Long> invalidVersions = new HashSet<>();
        for (ValidatedChange change : changes) {
            if (change.version() <= reached) {
                continue;
            }
            if (change instanceof ValidatedChange.Valid valid) {
                apply(valid.change());
            } else {
                invalidVersions.add(change.version());
            }
        }
        rejectResourcesOf(invalidVersions);
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
        rejected.remove(key);
    }

    private void rejectResourcesOf(Set<Long> versions) {
        if (versions.isEmpty()) {
            return;
        }
        List<Resource> found =
                table.all().stream().filter(each -> versions.contains(each.version())).toList();
        for (Resource resource : found) {
            table.remove(resource.key());
            rejected.put(resource.key(), resource.version());
        }
    }
}
