// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

/**
 * Unix time in microseconds that never goes back: the system clock is read once and then advanced
 * by the monotonic clock.
 */
final class Clock {

    private final long startedAt = System.currentTimeMillis() * 1000;
    private final long startedNanos = System.nanoTime();

    long micros() {
        return startedAt + (System.nanoTime() - startedNanos) / 1000;
    }
}
