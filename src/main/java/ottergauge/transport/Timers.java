// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import java.util.function.LongSupplier;

/**
 * Timers that never fire early by the node's clock. A timer that is late first lets the event loop
 * read its sockets.
 *
 * <p>Events carry the time of the node's clock, but Vert.x measures delays with another clock. The
 * router would ignore a timer that fired early as stale, and the timeout would be lost.
 *
 * <p>After a stall, the loop may run timers before it reads its sockets. A late timer therefore
 * waits for another round of the loop. Without this round, the node would close connections as idle
 * although a request had arrived on them, and time out attempts whose responses had arrived.
 */
final class Timers {

    /**
     * Runs a task on the loop after at least this many milliseconds, by the scheduler's own clock.
     */
    @FunctionalInterface
    interface Scheduler {
        void schedule(long millis, Runnable task);
    }

    private static final long MICROS_PER_MILLI = 1_000;

    /** A timer that is later than this waits until the loop has read its sockets once more. */
    private static final long MAX_LAG_MICROS = 10_000;

    private final LongSupplier clock;
    private final Scheduler scheduler;

    /** {@code clock} is in microseconds. */
    Timers(LongSupplier clock, Scheduler scheduler) {
        this.clock = clock;
        this.scheduler = scheduler;
    }

    /** Runs a task once {@code delay} microseconds have passed. */
    void start(long delay, Runnable task) {
        waitUntil(clock.getAsLong() + delay, task);
    }

    private void waitUntil(long due, Runnable task) {
        long left = due - clock.getAsLong();
        long millis = Math.max(1, (left + MICROS_PER_MILLI - 1) / MICROS_PER_MILLI);
        scheduler.schedule(millis, () -> fire(due, task));
    }

    private void fire(long due, Runnable task) {
        long lag = clock.getAsLong() - due;
        if (lag < 0) {
            waitUntil(due, task);
        } else if (lag > MAX_LAG_MICROS) {
            scheduler.schedule(1, task);
        } else {
            task.run();
        }
    }
}
