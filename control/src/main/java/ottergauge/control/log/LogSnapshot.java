// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.List;
import ottergauge.control.log.IdempotencyCache.CachedOutcome;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.LogPosition;

/**
 * The complete content of a {@link ChangeLog} at one instant. Immutable, so that a thread other
 * than the log's may encode it.
 */
public final class LogSnapshot {

    private final LogPosition position;
    private final List<StoredResource> resources;
    private final List<StoredChange> changes;
    private final List<CachedOutcome> outcomes;

    LogSnapshot(
            LogPosition position,
            List<StoredResource> resources,
            List<StoredChange> changes,
            List<CachedOutcome> outcomes) {
        this.position = position;
        this.resources = List.copyOf(resources);
        this.changes = List.copyOf(changes);
        this.outcomes = List.copyOf(outcomes);
    }

    /**
     * Decodes the stored form.
     *
     * @throws ProtocolException if the bytes are truncated, have trailing bytes, have an unknown
     *     format version or are inconsistent
     */
    public static LogSnapshot decode(byte[] bytes) throws ProtocolException {
        return LogSnapshotDecoder.decode(bytes);
    }

    /** The stored form, which {@link #decode} reads. */
    public byte[] encode() {
        return LogSnapshotEncoder.encode(this);
    }

    /** The position of the newest change. */
    public LogPosition position() {
        return position;
    }

    /** The state after the newest change, in the order of keys. */
    List<StoredResource> resources() {
        return resources;
    }

    /** The retained changes: consecutive versions that end at {@link #position}. */
    List<StoredChange> changes() {
        return changes;
    }

    /** The cached outcomes: the accepted ones, then the rejected ones, each oldest first. */
    List<CachedOutcome> outcomes() {
        return outcomes;
    }
}
