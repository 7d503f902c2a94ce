// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.DefaultSelectStrategyFactory;
import io.netty.channel.SelectStrategy;
import io.netty.util.IntSupplier;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;

/**
 * Tells since when, at the earliest, what the loop reads now may have waited in the system's
 * buffers. A process that was short of CPU, or stopped, reads everything that came meanwhile at one
 * instant; taken for new, a request whose time had run out was sent on and waited for a whole
 * deadline more.
 *
 * <p>In each round the loop asks for what is ready, waiting if nothing is, and handles that. What
 * is ready at once came after the asking of the round before, what ends a wait came just then. A
 * wait longer than any timer lets it be is none: the process stood still, and nobody can tell from
 * when on. It may end with nothing ready, as the system ends the wait of a process that it
 * continues.
 */
final class EventLoopMonitor implements SelectStrategy {

    // A wait so short is the time that the asking takes.
    private static final long AT_ONCE = TimeUnit.MILLISECONDS.toNanos(1);
    // Longer than this a round takes only where the loop is short of time.
    private static final long BEHIND = TimeUnit.MILLISECONDS.toNanos(10);
    // The router wakes the loop every 250 ms at the least.
    private static final long LONGEST_WAIT = TimeUnit.MILLISECONDS.toNanos(300);
    private static final long MICROS = 1_000;

    private final SelectStrategy strategy =
            DefaultSelectStrategyFactory.INSTANCE.newSelectStrategy();
    private final LongSupplier nanos;
    private long round;
    private long askedAt;
    private boolean handles;

    /** Until when this round's asking and the one's before surely took in what had come. */
    private long toldUntil;

    private long toldBefore;
    private long since;

    /** Whether the process stood still in the round before. */
    private boolean stood;

    /** {@code nanos} is a clock that only goes forward, in nanoseconds. */
    EventLoopMonitor(LongSupplier nanos) {
        this.nanos = nanos;
        askedAt = nanos.getAsLong();
        toldBefore = askedAt;
    }

    /** A round of the loop begins. */
    @Override
    public int calculateStrategy(IntSupplier ready, boolean hasTasks) throws Exception {
        handles();
        round++;
        askedAt = nanos.getAsLong();
        toldBefore = toldUntil;
        handles = false;
        return strategy.calculateStrategy(ready, hasTasks);
    }

    /**
     * Notes that something is handled: the first time in a round tells how long the loop has
     * waited.
     */
    void handles() {
        if (!handles) {
            handles = true;
            long now = nanos.getAsLong();
            boolean stands = now - askedAt > LONGEST_WAIT;
            toldUntil = stands ? askedAt : now;
            // What came during a standstill may be told a round later, and on a busy machine not at
            // once.
            since = now - askedAt <= AT_ONCE || stood ? toldBefore : toldUntil;
            stood = stands;
        }
    }

    /**
     * Whether so much time has passed since the loop last asked what is ready that more may have
     * come.
     */
    boolean behind() {
        return nanos.getAsLong() - askedAt > BEHIND;
    }

    /** The number of this round. */
    long round() {
        return round;
    }

    /** When, at the earliest, what is read now can have come, by this watch's clock. */
    long since() {
        handles();
        return since;
    }

    /** The microseconds that have passed since an instant of this watch's clock. */
    long microsSince(long instant) {
        return Math.max(0, nanos.getAsLong() - instant) / MICROS;
    }
}
