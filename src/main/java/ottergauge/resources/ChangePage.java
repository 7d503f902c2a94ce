// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.List;

/**
 * A control process' response to a poll: the changes after the polled version that match the
 * subscription.
 *
 * @param upTo the position up to which the page covers the log, which may be after its last change
 * @param changes the changes, in the order of their versions
 * @param unreadable the changes that the reader could not decode; not part of the message
 */
public record ChangePage(
        LogPosition upTo, List<Change> changes, List<UnreadableChange> unreadable) {

    /** Creates a page without unreadable changes. */
    public ChangePage(LogPosition upTo, List<Change> changes) {
        this(upTo, changes, List.of());
    }
}
