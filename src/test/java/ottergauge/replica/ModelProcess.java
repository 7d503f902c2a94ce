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
 * A control process on made-up time: what it has of a log, what befalls it, and what it answers.
 */
final class ModelProcess {

    /** What may befall a process for a while. */
    enum Trouble {
        /** Nothing that is sent to it arrives, nor what it sends. */
        SILENT,
        /** It does not run: calls end at once. */
        KILLED,
        /** Silent, and it learns of no change. */
        CUT_OFF,
        /** It answers, and learns of no change. */
        LAGGING,
        /** What it answers takes long. */
        SLOW,
        /** What it answers is out of order, replayed or older than it was. */
        GARBLED
    }

    /** A trouble of a process, from an instant until another. */
    record TroubleSpan(int process, Trouble trouble, long from, long until) {}

    static final int MOST_CHANGES = 3;
    static final int MOST_RESOURCES = 3;

    private final ControlAddress address;
    private final int retained;
    private ModelLog log;
    private long reached;

    ModelProcess(ControlAddress address, ModelLog log, int retained) {
        this.address = address;
        this.log = log;
        this.retained = retained;
        reached = log.version();
    }

    ControlAddress address() {
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

    /** Why it can't tell the changes after a position, if it can't. */
    Optional<VersionUnavailable> tooOld(LogPosition after) {
        boolean told =
                after.log().equals(log.id())
                        && after.version() >= oldest() - 1
                        && after.version() <= reached;
        return told
                ? Optional.empty()
                : Optional.of(new VersionUnavailable(log.id(), oldest(), reached));
    }

    boolean hasNews(LogPosition after, Subscription subscription) {
        return !after.log().equals(log.id())
                || after.version() > reached
                || log.hasNews(after.version(), reached, subscription);
    }

    ChangePage changes(LogPosition after, Subscription subscription) {
        return log.changes(after.version(), reached, subscription, MOST_CHANGES);
    }

    SnapshotPage snapshot(Optional<ResourceKey> from, Subscription subscription) {
        return log.snapshot(from, reached, subscription, MOST_RESOURCES);
    }

    /** What becomes of a page where answers are garbled: by a number that was drawn. */
    static ChangePage garbled(ChangePage page, int drawn) {
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
            default -> new ChangePage(new LogPosition("nobodys", page.upTo().version()), changes);
        };
    }

    /**
     * The same of a page of a snapshot; nobody could tell that a first one is of a log that is
     * none.
     */
    static SnapshotPage garbled(SnapshotPage page, boolean first, int drawn) {
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
                                    new LogPosition("nobodys", page.at().version()),
                                    resources,
                                    page.next());
        };
    }
}
