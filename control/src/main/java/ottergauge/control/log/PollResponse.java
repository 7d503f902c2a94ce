// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import ottergauge.resources.LogPosition;

/** The response to a subscriber that polls for changes. */
public sealed interface PollResponse {

    /** The changes that the subscription follows; the page may be empty. */
    record Changes(EncodedChanges page) implements PollResponse {}

    /**
     * The subscriber has to take a snapshot: it follows another log, or the changes after its
     * version are no longer retained.
     *
     * @param newest the newest position of this log
     * @param oldest the oldest version that is retained
     */
    record VersionUnavailable(LogPosition newest, long oldest) implements PollResponse {}

    /**
     * The subscriber has a version of this log that this replica hasn't reached yet.
     *
     * @param newest the newest position of this replica
     */
    record Ahead(LogPosition newest) implements PollResponse {}
}
