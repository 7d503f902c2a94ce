// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Estimates the earliest instant at which the input that the event loop reads now can have arrived
 * in the operating system's buffers. A process that was short of CPU, or stopped, reads all input
 * that arrived meanwhile at one instant. If that instant counted as the arrival, the node would
 * forward requests whose deadline has passed and wait for their responses.
 *
 * <p>In each round the loop selects the channels that are ready, waits if there are none, and
 * handles them. Input that is ready without a wait arrived after the select of the previous round;
 * input that ends a wait arrived at that moment. If a wait is longer than any timer allows, the
 * process was stalled for an unknown part of it. Such a wait may end with no channel ready, because
 * the operating system ends the wait of a stopped process when it continues the process.
 */
final class EventLoopMonitor implements SelectStrategy {

    /** A wait up to this long counts as no wait: the select itself takes this time. */
    private static final long MAX_SELECT_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

    private static final long MAX_ROUND_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    /**
     * The router has a timer every 250 ms, so that after a wait longer than this the process was
     * stalled.
     */
    private static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(300);

    private static final long NANOS_PER_MICRO = 1_000;

    private final SelectStrategy strategy =
            DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
    private final LongSupplier nanos;
    private long round;
    private long selectedAt;
    private boolean handling;

    /** The select of this round reported all input that had arrived by this instant. */
    private long reportedUntil;

    /** The same for the previous round. */
    private long previousReportedUntil;

    private long earliestArrival;

    /** Whether the process was stalled in the previous round. */
    private boolean previouslyStalled;

    /** {@code nanos} is a monotonic clock in nanoseconds. */
    EventLoopMonitor(LongSupplier nanos) {
        this.nanos = nanos;
        selectedAt = nanos.getAsLong();
        previousReportedUntil = selectedAt;
    }

    /** Starts a round of the loop. */
    @Override
    public int calculateStrategy(IntSupplier ready, boolean hasTasks) throws Exception {
        beginHandling();
        round++;
        selectedAt = nanos.getAsLong();
        previousReportedUntil = reportedUntil;
        handling = false;
        return strategy.calculateStrategy(ready, hasTasks);
    }

    /**
     * Records that the loop handles input or an event; the first call in a round ends the
     * measurement of its wait.
     */
    void beginHandling() {
        if (handling) {
            return;
        }
        handling = true;
        long now = nanos.getAsLong();
        long waited = now - selectedAt;
        boolean stalled = waited > MAX_WAIT_NANOS;
        reportedUntil = stalled ? selectedAt : now;
        // Input that arrived during a stall may be reported a round later, and on a busy machine
        // only after another wait.
        earliestArrival =
                waited <= MAX_SELECT_NANOS || previouslyStalled
                        ? previousReportedUntil
                        : reportedUntil;
        previouslyStalled = stalled;
    }

    /**
     * Whether this round has taken so long that more input has probably arrived since its select.
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
