// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.function.LongSupplier;
import ottergauge.control.consensus.SharedLog;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.VersionUnavailable;

/**
 * Writes pages of snapshots at a rate for all callers together, in the order in which they called.
 * A page is made when its turn comes. There is one call a connection, so that the connections bound
 * the queue.
 */
final class SnapshotQueue {

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MICROS_PER_MS = 1_000;

    /** What the timers are late by is caught up with, up to this. */
    private static final long MAX_CATCH_UP_MICROS = 20_000;

    private record Waiting(Responder responder, SnapshotRequest call) {}

    private final SharedLog log;
    private final Timers timers;
    private final LongSupplier clockMicros;
    private final long bytesPerSecond;
    private final Queue<Waiting> queue = new ArrayDeque<>();
    private boolean timerRuns;
    private boolean stopping;

    /** When the next page may be written. */
    private long nextAt;

    SnapshotQueue(SharedLog log, Timers timers, LongSupplier clockMicros, long bytesPerSecond) {
        this.log = log;
        this.timers = timers;
        this.clockMicros = clockMicros;
        this.bytesPerSecond = bytesPerSecond;
        nextAt = clockMicros.getAsLong();
    }

    int length() {
        return queue.size();
    }

    /** Answers a call when its turn comes. */
    void take(Responder responder, SnapshotRequest call) {
        if (stopping) {
            responder.unavailable(ErrorJson.STOPPING);
            return;
        }
        Waiting waiting = new Waiting(responder, call);
        queue.add(waiting);
        responder.onDisconnect(() -> queue.remove(waiting));
        if (!timerRuns) {
            writeWhatIsDue();
        }
    }

    /** Turns away all that wait, and from now on at once. */
    void stop() {
        stopping = true;
        queue.forEach(waiting -> waiting.responder().closing().unavailable(ErrorJson.STOPPING));
        queue.clear();
    }

    private void writeWhatIsDue() {
        long now = clockMicros.getAsLong();
        nextAt = Math.max(nextAt, now - MAX_CATCH_UP_MICROS);
        while (!queue.isEmpty() && nextAt <= now) {
            nextAt += write(queue.remove()) * MICROS_PER_SECOND / bytesPerSecond;
        }
        if (!queue.isEmpty()) {
            timerRuns = true;
            timers.start(Math.max(1, (nextAt - now) / MICROS_PER_MS), this::timerFired);
        }
    }

    private void timerFired() {
        timerRuns = false;
        writeWhatIsDue();
    }

    // Gives how many bytes the answer has.
    private long write(Waiting waiting) {
        SnapshotRequest call = waiting.call();
        LogPosition position = log.position().orElseThrow();
        Optional<String> other = call.log().filter(each -> !each.equals(position.log()));
        if (other.isPresent()) {
            waiting.responder()
                    .answer(
                            HttpStatus.GONE,
                            ResourceCodec.write(
                                    new VersionUnavailable(
                                            position.log(), log.oldest(), position.version())));
            return 0;
        }
        byte[] page = log.snapshot(call.from(), call.subscription(), call.maxBytes()).json();
        waiting.responder().answer(HttpStatus.OK, page);
        return page.length;
    }
}
