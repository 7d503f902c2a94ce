// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import ottergauge.resources.ChangePage;
import ottergauge.resources.SnapshotPage;
import ottergauge.resources.VersionUnavailable;

/** Something that happens to a replica. A call is identified by the number of its effect. */
public sealed interface ReplicaEvent {

    /** A page of changes was received. */
    record ChangesReceived(long call, ChangePage page) implements ReplicaEvent {}

    /** A page of a snapshot was received, of so many bytes on the wire. */
    record SnapshotPageReceived(long call, SnapshotPage page, long bytes) implements ReplicaEvent {}

    /** The control process can't continue from the position that was polled. */
    record VersionUnavailableReceived(long call, VersionUnavailable response)
            implements ReplicaEvent {}

    /** A call ended without a usable response. */
    record CallFailed(long call) implements ReplicaEvent {}

    /** A timer fired, at its time or later. */
    record TimerFired(ReplicaTimer timer) implements ReplicaEvent {}

    /** The node stops: a changed state is stored, and no further call is made. */
    record Stopped() implements ReplicaEvent {}
}
