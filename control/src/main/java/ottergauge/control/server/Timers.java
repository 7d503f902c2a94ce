// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

/** One-shot timers whose tasks run on the event loop. */
interface Timers {

    /**
     * Runs a task once after a delay.
     *
     * @param delayMs milliseconds; at least 1 is waited
     * @return the timer's id for {@link #cancel}
     */
    long start(long delayMs, Runnable task);

    /** Cancels a timer; one that has fired is ignored. */
    void cancel(long timerId);
}
