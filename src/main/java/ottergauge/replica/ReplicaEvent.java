// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import ottergauge.resources.ChangePage;
import ottergauge.resources.SnapshotPage;
import ottergauge.resources.VersionUnavailable;

/** Something that a replica learns. Calls are known by the numbers that it gave them. */
public sealed interface ReplicaEvent {

    /** A page of changes was read. */
    record ChangesRead(long call, ChangePage page) implements ReplicaEvent {}

    /** A page of a snapshot was read, of so many bytes. */
    record SnapshotRead(long call, SnapshotPage page, long bytes) implements ReplicaEvent {}

    /** The control process can't go on from the position that was asked for. */
    record TooOldRead(long call, VersionUnavailable answer) implements ReplicaEvent {}

    /** A call ended with no answer that can be used. */
    record CallFailed(long call) implements ReplicaEvent {}

    record TimerFired(ReplicaTimer timer) implements ReplicaEvent {}

    /** The node ends: what isn't kept yet is handed out, and nothing more is called. */
    record Stopped() implements ReplicaEvent {}
}
