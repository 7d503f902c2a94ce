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

/**
 * A model of a control process in simulated time: the part of a log that it has, its faults and its
 * responses.
 */
final class ModelControlProcess {

    /** The faults of a process. */
    enum FaultKind {
        /** Messages to and from the process are lost. */
        SILENT,
        /** The process does not run, so calls fail at once. */
        KILLED,
        /** Messages to and from the process are lost, and it receives no changes. */
        CUT_OFF,
        /** The process responds, but receives no changes. */
        LAGGING,
        /** The responses of the process are slow. */
        SLOW,
        /**
         * The responses of the process are out of order, duplicated, of an older version or of an
         * unknown log.
         */
        CORRUPT
    }

    /**
     * A fault of a process and the period in which it occurs, in microseconds since the start of
     * the simulation.
     */
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

    void receiveChanges(ModelLog newestLog, long version) {
        if (newestLog != log) {
            log = newestLog;
            reached = 0;
        }
        reached = Math.max(reached, version);
    }

    private long oldest() {
        return Math.max(1, reached - retained + 1);
    }

    /** The response if the process can't serve the changes after a position; empty if it can. */
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

    /** Returns a corrupt form of a page; the random number selects the form. */
    static ChangePage corrupt(ChangePage page, int randomNumber) {
        List<Change> changes = new ArrayList<>(page.changes());
        return switch (randomNumber % 4) {
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
     * Returns a corrupt form of a snapshot page. The first page keeps its log, because the replica
     * can't detect that the log of a first page doesn't exist.
     */
    static SnapshotPage corrupt(SnapshotPage page, boolean first, int randomNumber) {
        var resources = new ArrayList<>(page.resources());
        return switch (randomNumber % 4) {
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
