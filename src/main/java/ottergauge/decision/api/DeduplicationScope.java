// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/** The set of servers that share idempotency keys and drop repeated requests by them. */
public enum DeduplicationScope {
    FLEET,
    ZONE,
    CELL
}
