// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.List;

/**
 * A control process' response to a poll: all changes that match the subscription, after the polled
 * version.
 *
 * @param upTo the position that the page reaches, which may be past its last change
 * @param changes the changes, in the order of their versions
 * @param unreadable the changes that a reader could not decode; never written
 */
public record ChangePage(
        LogPosition upTo, List<Change> changes, List<UnreadableChange> unreadable) {

    /** A page with nothing unreadable in it. */
    public ChangePage(LogPosition upTo, List<Change> changes) {
        this(upTo, changes, List.of());
    }
}
