// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Tells since when a client may have written the last byte of a streamed request that the node has
 * not read to its end. While the node doesn't read, or reads what has piled up, the bytes that are
 * still to come may have been written long before. All times are in microseconds.
 */
final class UploadBacklog {

    /** A body that is read without a stop for this long has no backlog left. */
    private static final long CATCH_UP_MICROS = 100_000;

    /**
     * The most that the operating systems of a client and of the node hold by default. Once more
     * than this has been read, the last byte is younger than the beginning of the backlog.
     */
    private static final long MAX_UNREAD_BYTES = 5 * 1024 * 1024;

    private record Sample(long at, long receivedBytes) {}

    /** From the earliest instant at which the last byte may have been written; empty if none. */
    private final Deque<Sample> samples = new ArrayDeque<>(2);

    private boolean blocked;
    private long unblockedAt;

    /** The node stops reading the body, of which it has read this many bytes. */
    void blocked(long now, long receivedBytes) {
        endIfCaughtUp(now);
        if (samples.isEmpty()) {
            samples.add(new Sample(now, receivedBytes));
        }
        blocked = true;
    }

    /** The node reads on. */
    void unblocked(long now) {
        blocked = false;
        unblockedAt = now;
    }

    /** The node has read this many bytes of the body. */
    void progressed(long now, long receivedBytes) {
        endIfCaughtUp(now);
        if (samples.isEmpty()) {
            return;
        }
        samples.add(new Sample(now, receivedBytes));
        Sample oldest = samples.poll();
        while (samples.peek().receivedBytes() <= receivedBytes - MAX_UNREAD_BYTES) {
            oldest = samples.poll();
        }
        samples.addFirst(oldest);
    }

    private void endIfCaughtUp(long now) {
        if (!blocked && now - unblockedAt >= CATCH_UP_MICROS) {
            samples.clear();
        }
    }

    /** The earliest instant at which the last byte may have been written, if it has been by now. */
    long lastByteNotBefore(long now) {
        endIfCaughtUp(now);
        return samples.isEmpty() ? now : samples.peek().at();
    }

    /**
     * When a client that waits for this long after its last byte must have its response, as far as
     * can be told now; {@link Attempt#NO_TIMEOUT} if it can't have written the last byte yet.
     */
    long responseDueAt(long now, long timeout) {
        endIfCaughtUp(now);
        if (samples.isEmpty()) {
            return Attempt.NO_TIMEOUT;
        }
        long dueAt = samples.peek().at() + timeout;
        return blocked ? dueAt : Math.max(dueAt, unblockedAt + CATCH_UP_MICROS);
    }
}
