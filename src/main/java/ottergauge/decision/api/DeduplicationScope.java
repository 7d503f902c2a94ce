// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/** Which servers recognise each other's idempotency keys, and so drop repeats together. */
public enum DeduplicationScope {
    FLEET,
    ZONE,
    CELL
}
