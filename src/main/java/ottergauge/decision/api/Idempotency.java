// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/** Whether a request may be sent to a server a second time. */
public enum Idempotency {
    /** Any number of attempts has the effect of one. */
    IDEMPOTENT,
    /** Servers of one {@link DeduplicationScope} drop repeats with the same idempotency key. */
    KEYED,
    /** A second attempt may repeat the effect. */
    NON_IDEMPOTENT
}
