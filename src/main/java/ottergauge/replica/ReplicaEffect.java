// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import ottergauge.protocol.Address;

/**
 * Something that a replica asks for. At most one call is out at a time; delays are microseconds.
 */
public sealed interface ReplicaEffect {

    record PollChanges(long call, Address endpoint, ChangesQuery query) implements ReplicaEffect {}

    record FetchSnapshotPage(long call, Address endpoint, SnapshotQuery query)
            implements ReplicaEffect {}

    /** Ends a call: nothing that it brings counts any more. */
    record CancelCall(long call) implements ReplicaEffect {}

    record StartTimer(long delayMicros, ReplicaTimer timer) implements ReplicaEffect {}

    /** Goes by a changed state from this instant on. */
    record ApplyState(StateChange change) implements ReplicaEffect {}

    /** Keeps a state for the node's next process. */
    record StoreState(StoredState state) implements ReplicaEffect {}

    /** Tells people. */
    record Report(ReplicaReport report) implements ReplicaEffect {}
}
