// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import ottergauge.resources.ChangePage;
import ottergauge.resources.SnapshotPage;
import ottergauge.resources.VersionUnavailable;

/**
 * An event that a replica handles. A call is identified by the number in the effect that started
 * it.
 */
public sealed interface ReplicaEvent {

    /** A page of changes was received. */
    record ChangesReceived(long call, ChangePage page) implements ReplicaEvent {}

    /** A page of a snapshot was received; {@code bytes} is its encoded size. */
    record SnapshotPageReceived(long call, SnapshotPage page, long bytes) implements ReplicaEvent {}

    /** The control process can't continue from the position that was polled. */
    record VersionUnavailableReceived(long call, VersionUnavailable response)
            implements ReplicaEvent {}

    /** A call ended without a usable response. */
    record CallFailed(long call) implements ReplicaEvent {}

    /** A timer fired, possibly late. */
    record TimerFired(ReplicaTimer timer) implements ReplicaEvent {}

    /** The node is stopping. The replica stores a changed state and makes no further calls. */
    record Stopped() implements ReplicaEvent {}
}
