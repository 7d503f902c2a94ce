// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

/** One-shot timers whose tasks run on the event loop. */
interface Timers {

    /**
     * Runs a task once after a delay.
     *
     * @param delayMs the delay in milliseconds; a value below 1 counts as 1
     * @return the timer's id for {@link #cancel}
     */
    long start(long delayMs, Runnable task);

    /** Cancels a timer. Does nothing if the timer has already fired. */
    void cancel(long timerId);
}
