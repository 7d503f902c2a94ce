// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.ArrayList;
import java.util.List;

/**
 * The newest changes, with consecutive versions. When they exceed {@link LogRetention}, the oldest
 * changes are evicted first.
 */
final class RecentChanges {

    private static final int INITIAL_CAPACITY = 64;

    private final LogRetention retention;

    /** Ring buffer indexed by version modulo its length. */
    private StoredChange[] ring = new StoredChange[INITIAL_CAPACITY];

    private long newest;
    private int count;
    private long bytes;

    /**
     * Creates an empty buffer. The first change added to it has to have the version after {@code
     * version}.
     */
    RecentChanges(LogRetention retention, long version) {
        this.retention = retention;
        newest = version;
    }

    void add(StoredChange change) {
        if (change.version() != newest + 1) {
            throw new IllegalArgumentException(
                    "change " + change.version() + " is not the successor of " + newest);
        }
        if (count == ring.length) {
            grow();
        }
        newest = change.version();
        ring[slot(newest)] = change;
        count++;
        bytes += JsonPageBuilder.sizeOf(change);
        while (count > 1 && (count > retention.maxChanges() || bytes > retention.maxBytes())) {
            evictOldest();
        }
    }

    /** The oldest retained version; the version after the newest one if no change is retained. */
    long oldest() {
        return newest - count + 1;
    }

    /** The change with this version, which has to be retained. */
    StoredChange get(long version) {
        if (version < oldest() || version > newest) {
            throw new IllegalArgumentException("version " + version + " is not retained");
        }
        return ring[slot(version)];
    }

    /** All retained changes, oldest first. */
    List<StoredChange> all() {
        List<StoredChange> all = new ArrayList<>(count);
        for (long version = oldest(); version <= newest; version++) {
            all.add(get(version));
        }
        return all;
    }

    private void evictOldest() {
        int slot = slot(oldest());
        bytes -= JsonPageBuilder.sizeOf(ring[slot]);
        ring[slot] = null;
        count--;
    }

    private void grow() {
        List<StoredChange> all = all();
        ring = new StoredChange[ring.length * 2];
        all.forEach(change -> ring[slot(change.version())] = change);
    }

    private int slot(long version) {
        return (int) Math.floorMod(version, (long) ring.length);
    }
}
