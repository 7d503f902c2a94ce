// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

/**
 * The window over which latencies and rates are measured. Instants and spans are microseconds. See
 * docs/design.md, "Weighted round-robin".
 */
public final class MeasurementWindow {

    /** Length of every window but the first, in microseconds. */
    public static final long LENGTH_MICROS = 5_000_000;

    // All servers weigh the same until the first window ends, which overruns the slow ones.
    private static final long FIRST_LENGTH_MICROS = LENGTH_MICROS / 5;

    private long endsAt = Instants.NEVER;

    /** Whether {@link #start} has been called. */
    public boolean isStarted() {
        return endsAt != Instants.NEVER;
    }

    /** Begins the first window. */
    public void start(long now) {
        endsAt = now + FIRST_LENGTH_MICROS;
    }

    /** Whether the present window is over at this instant. */
    public boolean hasEnded(long now) {
        return now >= endsAt;
    }

    /** Begins the window that contains this instant. */
    public void advance(long now) {
        endsAt += ((now - endsAt) / LENGTH_MICROS + 1) * LENGTH_MICROS;
    }

    /** Returns the instant at which the present window ends. */
    public long endsAt() {
        return endsAt;
    }
}
