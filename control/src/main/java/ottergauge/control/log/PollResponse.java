// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import ottergauge.resources.LogPosition;

/** The answer to a subscriber that asks for changes. */
public sealed interface PollResponse {

    /** The changes that the subscription follows. */
    record Changes(EncodedChanges page) implements PollResponse {}

    /**
     * Another log, or changes after the version that aren't kept any more: a snapshot is needed.
     */
    record VersionTooOld(LogPosition newest, long oldest) implements PollResponse {}

    /** A version of this log that this copy of it has not reached yet. */
    record Ahead(LogPosition newest) implements PollResponse {}
}
