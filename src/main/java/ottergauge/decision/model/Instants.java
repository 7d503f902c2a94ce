// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

/** Special instants of the engine's clock, in microseconds. */
public final class Instants {

    /** Long before every event; a span of the clock may be added or subtracted without overflow. */
    public static final long NEVER = Long.MIN_VALUE / 4;

    private Instants() {}
}
