// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Estimates the earliest instant at which what the event loop reads now can have arrived in the
 * system's buffers. A process that was short of CPU, or stopped, reads everything that arrived
 * meanwhile at one instant; if that counted as the arrival, requests whose deadline has passed
 * would be forwarded and waited for.
 *
 * <p>In each round the loop selects what is ready, waiting if nothing is, and handles it. What is
 * ready without waiting arrived after the select of the round before; what ends a wait arrived just
 * then. A wait longer than any timer allows is none: the process stood still for an unknown part of
 * it. It may end with nothing ready, as the system ends the wait of a process that it continues.
 */
final class EventLoopMonitor implements SelectStrategy {

    /** A wait no longer than this is the time that the select itself takes. */
    private static final long MAX_SELECT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private static final long MAX_ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    /** The router has a timer each 250 ms. */
    private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final long NANOS_PER_MICRO = 1_000;

    private final SelectStrategy strategy =
            DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
    private final LongSupplier nanos;
    private long round;
    private long selectedAt;
    private boolean handling;

    /** Until when this round's select, and that of the round before, reported all arrivals. */
    private long reportedUntil;

    private long reportedUntilBefore;
    private long earliestArrival;

    /** Whether the process stood still in the round before. */
    private boolean stalledBefore;

    /** {@code nanos} is a monotonic clock in nanoseconds. */
    EventLoopMonitor(LongSupplier nanos) {
        this.nanos = nanos;
        selectedAt = nanos.getAsLong();
        reportedUntilBefore = selectedAt;
    }

    /** A round of the loop begins. */
    @Override
    public int calculateStrategy(IntSupplier ready, boolean hasTasks) throws Exception {
        beginHandling();
        round++;
        selectedAt = nanos.getAsLong();
        reportedUntilBefore = reportedUntil;
        handling = false;
        return strategy.calculateStrategy(ready, hasTasks);
    }

    /** Notes that something is handled; the first call in a round tells how long it waited. */
    void beginHandling() {
        if (handling) {
            return;
        }
        handling = true;
        long now = nanos.getAsLong();
        long waited = now - selectedAt;
        boolean stalled = waited > MAX_WAIT_NANOS;
        reportedUntil = stalled ? selectedAt : now;
        // Arrivals during a stall may be reported a round later, and on a busy machine not without
        // a wait.
        earliestArrival =
                waited <= MAX_SELECT_NANOS || stalledBefore ? reportedUntilBefore : reportedUntil;
        stalledBefore = stalled;
    }

    /**
     * Whether this round has taken so long that more is likely to have arrived since its select.
     */
    boolean isBehind() {
        return nanos.getAsLong() - selectedAt > MAX_ROUND_NANOS;
    }

    /** The number of this round. */
    long round() {
        return round;
    }

    /** The earliest instant at which what is read now can have arrived, by this monitor's clock. */
    long earliestArrival() {
        beginHandling();
        return earliestArrival;
    }

    /** The microseconds that have passed since an instant of this monitor's clock. */
    long microsSince(long instant) {
        return Math.max(0, nanos.getAsLong() - instant) / NANOS_PER_MICRO;
    }
}
