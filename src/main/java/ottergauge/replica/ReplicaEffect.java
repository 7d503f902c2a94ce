// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import ottergauge.protocol.Address;

/** Something that a replica asks its caller to do. At most one call is outstanding at a time. */
public sealed interface ReplicaEffect {

    /** Polls a control process for changes. */
    record PollChanges(long call, Address endpoint, ChangesQuery query) implements ReplicaEffect {}

    /** Fetches a page of a snapshot from a control process. */
    record FetchSnapshotPage(long call, Address endpoint, SnapshotQuery query)
            implements ReplicaEffect {}

    /** Cancels a call: its response is ignored from now on. */
    record CancelCall(long call) implements ReplicaEffect {}

    /** Starts a timer that fires after a delay in microseconds; timers are never cancelled. */
    record StartTimer(long delayMicros, ReplicaTimer timer) implements ReplicaEffect {}

    /** Applies a changed state immediately. */
    record ApplyState(StateChange change) implements ReplicaEffect {}

    /** Stores a state for the node's next process. */
    record StoreState(StoredState state) implements ReplicaEffect {}

    /** Writes a report to the operators' log. */
    record Report(ReplicaReport report) implements ReplicaEffect {}
}
