// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import java.util.function.LongSupplier;

/**
 * Timers that are never early by the clock that events are stamped with, and that let what has come
 * go first when they are late. The library's run on a reading of their own; one that came before
 * its time would be taken for an old one and passed over, and what it was to end would wait for
 * ever. And a process that stood still may be given its timers before its sockets: connections were
 * closed as idle with a request in them, and attempts given up whose answers were there.
 */
final class Timers {

    /** Runs something on the loop after at least so many milliseconds, by the library's clock. */
    @FunctionalInterface
    interface Library {
        void start(long millis, Runnable task);
    }

    private static final long MICROS = 1_000;
    // Later than this the loop has not come round in time: it reads once more before it goes by the
    // clock.
    private static final long LATE = 10_000;

    private final LongSupplier clock;
    private final Library library;

    /** {@code clock} is in microseconds. */
    Timers(LongSupplier clock, Library library) {
        this.clock = clock;
        this.library = library;
    }

    /** Runs a task once {@code delay} microseconds have passed. */
    void start(long delay, Runnable task) {
        waitUntil(clock.getAsLong() + delay, task);
    }

    private void waitUntil(long due, Runnable task) {
        long left = due - clock.getAsLong();
        library.start(
                Math.max(1, (left + MICROS - 1) / MICROS),
                () -> {
                    long late = clock.getAsLong() - due;
                    if (late < 0) {
                        waitUntil(due, task);
                    } else if (late > LATE) {
                        library.start(1, task);
                    } else {
                        task.run();
                    }
                });
    }
}
