// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

/** Special instants on the engine's clock, in microseconds. */
public final class Instants {

    /**
     * An instant before every event. It is far enough from the limits of {@code long} that adding
     * or subtracting a time span doesn't overflow.
     */
    public static final long NEVER = Long.MIN_VALUE / 4;

    private Instants() {}
}
