// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/** What the endpoints of an update stand for. */
public enum UpdateScope {
    /** Only endpoints that changed. */
    INCREMENTAL,
    /** All endpoints; one that is absent has been removed. */
    FULL,
    /** All endpoints as they were known before the node started. */
    LAST_KNOWN
}
