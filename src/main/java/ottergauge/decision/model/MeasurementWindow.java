// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

/**
 * The window over which latencies and rates are measured. Instants and time spans are in
 * microseconds. See docs/design.md, "Weighted round-robin".
 */
public final class MeasurementWindow {

    /** Length of every window except the first, in microseconds. */
    public static final long LENGTH_MICROS = 5_000_000;

    // All servers have the same weight until the first window ends, and slow servers are overloaded
    // meanwhile. The first window is therefore shorter.
    private static final long FIRST_LENGTH_MICROS = LENGTH_MICROS / 5;

    private long endsAt = Instants.NEVER;

    /** Returns whether {@link #start} has been called. */
    public boolean isStarted() {
        return endsAt != Instants.NEVER;
    }

    /** Starts the first window. */
    public void start(long now) {
        endsAt = now + FIRST_LENGTH_MICROS;
    }

    /** Returns whether the current window has ended at this instant. */
    public boolean hasEnded(long now) {
        return now >= endsAt;
    }

    /** Advances to the window that contains this instant. */
    public void advance(long now) {
        endsAt += ((now - endsAt) / LENGTH_MICROS + 1) * LENGTH_MICROS;
    }

    /** Returns the instant at which the current window ends. */
    public long endsAt() {
        return endsAt;
    }
}
