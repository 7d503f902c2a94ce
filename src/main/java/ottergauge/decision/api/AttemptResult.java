// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/** The result of an attempt or a load probe. */
public enum AttemptResult {
    SERVED,
    ERROR,
    REJECTED,
    TIMED_OUT,
    CONNECT_FAILED,
    RESET,
    CANCELLED,
    NOT_SENT;

    /** Returns whether this result proves that the attempt was never executed. */
    public boolean neverRan() {
        return this == REJECTED || this == CONNECT_FAILED || this == NOT_SENT;
    }
}
