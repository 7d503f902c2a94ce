// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import ottergauge.resources.LogPosition;

/** The response to a subscriber that polls for changes. */
public sealed interface PollResponse {

    /** The changes that match the subscription; the page may be empty. */
    record Changes(EncodedChanges page) implements PollResponse {}

    /**
     * The subscriber has to fetch a snapshot, because it follows another log or because the changes
     * after its version are no longer retained.
     *
     * @param newest the newest position of this log
     * @param oldest the oldest retained version
     */
    record VersionUnavailable(LogPosition newest, long oldest) implements PollResponse {}

    /**
     * The subscriber has a version of this log that this control process has not reached yet.
     *
     * @param newest the newest position of this control process
     */
    record Ahead(LogPosition newest) implements PollResponse {}
}
