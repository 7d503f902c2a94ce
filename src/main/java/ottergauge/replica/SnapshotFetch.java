// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import ottergauge.resources.Change;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.SnapshotPage;

/**
 * Fetches a snapshot page by page. Owns the state that is being assembled, the page timeout and the
 * number of snapshots that were started since the replica last applied a page of changes.
 */
final class SnapshotFetch {

    /**
     * Control processes limit the rate of pages for all nodes together, so a response may take
     * seconds.
     */
    static final long PAGE_TIMEOUT_MICROS = 6_000_000;

    static final int MAX_TIMEOUT_DOUBLINGS = 2;
    static final int MIN_PAGE_BYTES = 4 * 1024;
    static final int MAX_PAGE_BYTES = 64 * 1024;

    private static final long MICROS_PER_SECOND = 1_000_000;

    private final ReplicaConfig config;
    private final Function<Change, Optional<FieldError>> check;

    /** Empty until the first page has been added. */
    private Optional<SnapshotAssembly> assembly = Optional.empty();

    private int consecutiveStarts;
    private int consecutiveTimeouts;

    SnapshotFetch(ReplicaConfig config, Function<Change, Optional<FieldError>> check) {
        this.config = config;
        this.check = check;
    }

    /**
     * Starts again from the first page. Returns the number of snapshots started in a row, this one
     * included.
     */
    int restart() {
        discard();
        return ++consecutiveStarts;
    }

    /**
     * Records that the replica follows the changes again, so that the next snapshot starts without
     * back-off.
     */
    void recordFollowed() {
        consecutiveStarts = 0;
    }

    void recordTimeout() {
        consecutiveTimeouts++;
    }

    void recordPage() {
        consecutiveTimeouts = 0;
    }

    long timeoutMicros() {
        return PAGE_TIMEOUT_MICROS << Math.min(consecutiveTimeouts, MAX_TIMEOUT_DOUBLINGS);
    }

    /** The query for the next page. */
    SnapshotQuery query() {
        return new SnapshotQuery(
                assembly.map(each -> each.reached().log()),
                assembly.flatMap(SnapshotAssembly::next),
                pageBytes(),
                config.subscription(),
                config.node());
    }

    private int pageBytes() {
        return (int)
                Math.max(MIN_PAGE_BYTES, Math.min(MAX_PAGE_BYTES, config.snapshotBytesPerSecond()));
    }

    /** The delay after a page of this size that keeps the fetch within the configured rate. */
    long pacingDelayMicros(long bytes) {
        return bytes * MICROS_PER_SECOND / config.snapshotBytesPerSecond();
    }

    Optional<SnapshotAssembly> assembly() {
        return assembly;
    }

    /**
     * The position up to which the assembled state includes all changes; empty before the first
     * page.
     */
    Optional<LogPosition> position() {
        return assembly.map(SnapshotAssembly::reached);
    }

    /** Adds the queried page and returns its rejected entries. */
    List<ReplicaReport.ResourceRejected> add(SnapshotPage page) {
        if (assembly.isEmpty()) {
            assembly = Optional.of(new SnapshotAssembly(page.at(), config.subscription(), check));
        }
        return assembly.get().add(page);
    }

    /** Whether the assembled state exceeds the configured limits. */
    boolean isTooLarge() {
        ReplicaLimits limits = config.limits();
        return assembly.filter(
                        each ->
                                each.size() > limits.maxResources()
                                        || each.bytes() > limits.maxBytes())
                .isPresent();
    }

    void discard() {
        assembly = Optional.empty();
    }
}
