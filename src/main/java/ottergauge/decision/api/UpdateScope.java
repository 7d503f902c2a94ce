// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/** What the endpoints of an update contain. */
public enum UpdateScope {
    /** Only the endpoints that changed. */
    INCREMENTAL,
    /** All endpoints. A server that is absent has been removed. */
    FULL,
    /** All endpoints that were last known before the node started. */
    LAST_KNOWN
}
