// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.List;

/**
 * An answer of a control process to a call for changes: all changes that a subscription follows,
 * after the version that was asked for and up to {@code upTo}, in their order. Changes that it
 * doesn't follow are left out, so that {@code upTo} may be past the last one. {@code unreadable}
 * are those that a reader could not make out; they are never written.
 */
public record ChangePage(
        LogPosition upTo, List<Change> changes, List<UnreadableChange> unreadable) {

    /** A page with nothing unreadable in it. */
    public ChangePage(LogPosition upTo, List<Change> changes) {
        this(upTo, changes, List.of());
    }
}
