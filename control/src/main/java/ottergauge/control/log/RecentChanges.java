// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.ArrayList;
import java.util.List;

/**
 * The newest changes in their order, with no gap between versions; the oldest go as new ones come.
 */
final class RecentChanges {

    private final LogRetention limits;

    /**
     * A ring of slots, indexed by version: a change is found without a walk over those before it.
     */
    private StoredChange[] ring = new StoredChange[64];

    private long newest;
    private int count;
    private long bytes;

    /** No changes, after the one of this version. */
    RecentChanges(LogRetention limits, long version) {
        this.limits = limits;
        newest = version;
    }

    void add(StoredChange change) {
        if (change.version() != newest + 1) {
            throw new IllegalArgumentException("version " + change.version() + " after " + newest);
        }
        if (count == ring.length) {
            grow();
        }
        newest = change.version();
        ring[slot(newest)] = change;
        count++;
        bytes += JsonPageBuilder.sizeOf(change);
        while (count > 1 && (count > limits.maxChanges() || bytes > limits.maxBytes())) {
            dropOldest();
        }
    }

    /** The oldest version that is kept; the one after the newest if none is. */
    long oldest() {
        return newest - count + 1;
    }

    /** The change of a version that is kept. */
    StoredChange get(long version) {
        if (version < oldest() || version > newest) {
            throw new IllegalArgumentException("version " + version + " is not kept");
        }
        return ring[slot(version)];
    }

    int count() {
        return count;
    }

    long bytes() {
        return bytes;
    }

    List<StoredChange> all() {
        List<StoredChange> all = new ArrayList<>(count);
        for (long version = oldest(); version <= newest; version++) {
            all.add(get(version));
        }
        return all;
    }

    private void dropOldest() {
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
