// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import java.util.ArrayDeque;
import java.util.Queue;
import java.util.function.LongSupplier;
import ottergauge.control.consensus.SharedLog;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.VersionUnavailable;

/**
 * Queues requests for snapshot pages and responds in FIFO order, at a limited rate for all clients
 * together. A page is read from the log when it is written. A connection has at most one request at
 * a time, so the connection limit also limits the queue length. Used only on the event loop.
 */
final class SnapshotQueue {

    private static final long MICROS_PER_SECOND = 1_000_000;
    private static final long MICROS_PER_MILLI = 1_000;

    /**
     * The longest unused time, in microseconds, that the rate limit makes up for. If the queue was
     * empty or a timer fired late, the queue may at once write as many bytes as the rate allows for
     * this time, rounded up to complete pages.
     */
    private static final long MAX_CATCH_UP_MICROS = 20_000;

    private record QueuedRequest(Responder responder, SnapshotRequest request) {}

    private final SharedLog log;
    private final Timers timers;
    private final LongSupplier clockMicros;
    private final long bytesPerSecond;
    private final Queue<QueuedRequest> queue = new ArrayDeque<>();
    private boolean timerRuns;
    private boolean stopping;

    /** The time at which the next page may be written. */
    private long nextWriteMicros;

    SnapshotQueue(SharedLog log, Timers timers, LongSupplier clockMicros, long bytesPerSecond) {
        this.log = log;
        this.timers = timers;
        this.clockMicros = clockMicros;
        this.bytesPerSecond = bytesPerSecond;
        nextWriteMicros = clockMicros.getAsLong();
    }

    /** The number of queued requests. */
    int length() {
        return queue.size();
    }

    /** Queues a request; the response follows when the rate limit allows it. */
    void handle(Responder responder, SnapshotRequest request) {
        if (stopping) {
            responder.respondUnavailable(ErrorJson.STOPPING);
            return;
        }
        QueuedRequest queued = new QueuedRequest(responder, request);
        queue.add(queued);
        responder.onDisconnect(() -> queue.remove(queued));
        if (!timerRuns) {
            writeDuePages();
        }
    }

    /** Rejects all queued requests. From now on, rejects new requests. */
    void stop() {
        stopping = true;
        queue.forEach(
                queued ->
                        queued.responder()
                                .closeAfterResponse()
                                .respondUnavailable(ErrorJson.STOPPING));
        queue.clear();
    }

    private void writeDuePages() {
        long now = clockMicros.getAsLong();
        nextWriteMicros = Math.max(nextWriteMicros, now - MAX_CATCH_UP_MICROS);
        while (!queue.isEmpty() && nextWriteMicros <= now) {
            nextWriteMicros += write(queue.remove()) * MICROS_PER_SECOND / bytesPerSecond;
        }
        if (!queue.isEmpty()) {
            timerRuns = true;
            long delayMs = (nextWriteMicros - now) / MICROS_PER_MILLI;
            timers.start(Math.max(1, delayMs), this::timerFired);
        }
    }

    private void timerFired() {
        timerRuns = false;
        writeDuePages();
    }

    // Returns the number of bytes that count against the rate limit.
    private long write(QueuedRequest queued) {
        SnapshotRequest request = queued.request();
        LogPosition position = log.position().orElseThrow();
        boolean isOfAnotherLog =
                request.log().filter(requested -> !requested.equals(position.log())).isPresent();
        if (isOfAnotherLog) {
            VersionUnavailable unavailable =
                    new VersionUnavailable(position.log(), log.oldest(), position.version());
            queued.responder().respond(HttpStatus.GONE, ResourceCodec.write(unavailable));
            return 0;
        }
        byte[] page =
                log.snapshot(request.from(), request.subscription(), request.maxBytes()).json();
        queued.responder().respond(HttpStatus.OK, page);
        return page.length;
    }
}
