// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.SnapshotPage;
import ottergauge.resources.Subscription;
import ottergauge.resources.VersionUnavailable;

/** A control process in simulated time: its part of a log, its faults and its responses. */
final class ModelControlProcess {

    /** The faults of a process. */
    enum FaultKind {
        /** Messages to and from it are lost. */
        SILENT,
        /** It does not run: calls fail at once. */
        KILLED,
        /** Silent, and it receives no changes. */
        CUT_OFF,
        /** It responds, and receives no changes. */
        LAGGING,
        /** Its responses are slow. */
        SLOW,
        /** Its responses are out of order, replayed or older than before. */
        CORRUPT
    }

    /** A fault of a process, from an instant until another. */
    record FaultWindow(int process, FaultKind fault, long from, long until) {}

    static final int MAX_CHANGES = 3;
    static final int MAX_RESOURCES = 3;

    private final ControlEndpoint address;
    private final int retained;
    private ModelLog log;
    private long reached;

    ModelControlProcess(ControlEndpoint address, ModelLog log, int retained) {
        this.address = address;
        this.log = log;
        this.retained = retained;
        reached = log.version();
    }

    ControlEndpoint address() {
        return address;
    }

    long reached() {
        return reached;
    }

    ModelLog log() {
        return log;
    }

    void learn(ModelLog of, long version) {
        if (of != log) {
            log = of;
            reached = 0;
        }
        reached = Math.max(reached, version);
    }

    private long oldest() {
        return Math.max(1, reached - retained + 1);
    }

    /** The response if it can't serve the changes after a position. */
    Optional<VersionUnavailable> versionUnavailable(LogPosition after) {
        boolean available =
                after.log().equals(log.id())
                        && after.version() >= oldest() - 1
                        && after.version() <= reached;
        return available
                ? Optional.empty()
                : Optional.of(new VersionUnavailable(log.id(), oldest(), reached));
    }

    boolean hasChanges(LogPosition after, Subscription subscription) {
        return !after.log().equals(log.id())
                || after.version() > reached
                || log.hasChanges(after.version(), reached, subscription);
    }

    ChangePage changes(LogPosition after, Subscription subscription) {
        return log.changes(after.version(), reached, subscription, MAX_CHANGES);
    }

    SnapshotPage snapshot(Optional<ResourceKey> from, Subscription subscription) {
        return log.snapshot(from, reached, subscription, MAX_RESOURCES);
    }

    /** A corrupt form of a page, chosen by a drawn number. */
    static ChangePage corrupt(ChangePage page, int drawn) {
        List<Change> changes = new ArrayList<>(page.changes());
        return switch (drawn % 4) {
            case 0 -> {
                Collections.reverse(changes);
                yield new ChangePage(page.upTo(), changes);
            }
            case 1 -> {
                changes.addAll(page.changes());
                yield new ChangePage(page.upTo(), changes);
            }
            case 2 ->
                    new ChangePage(
                            new LogPosition(page.upTo().log(), page.upTo().version() - 1), changes);
            default -> new ChangePage(new LogPosition("unknown", page.upTo().version()), changes);
        };
    }

    /**
     * The same of a page of a snapshot; nobody could tell that a first one is of a log that is
     * none.
     */
    static SnapshotPage corrupt(SnapshotPage page, boolean first, int drawn) {
        var resources = new ArrayList<>(page.resources());
        return switch (drawn % 4) {
            case 0 -> {
                Collections.reverse(resources);
                yield new SnapshotPage(page.at(), resources, page.next());
            }
            case 1 -> new SnapshotPage(new LogPosition(page.at().log(), 0), resources, page.next());
            case 2 ->
                    new SnapshotPage(
                            page.at(),
                            resources,
                            resources.isEmpty()
                                    ? page.next()
                                    : Optional.of(resources.get(0).key()));
            default ->
                    first
                            ? page
                            : new SnapshotPage(
                                    new LogPosition("unknown", page.at().version()),
                                    resources,
                                    page.next());
        };
    }
}
