// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

/** Calls back on the server's thread. */
interface Timers {

    /** Runs a task after so many milliseconds, 1 at least; gives the timer's number. */
    long start(long delayMs, Runnable task);

    void cancel(long timer);
}
