// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import ottergauge.protocol.Address;

/**
 * Something that a replica asks for. At most one call is out at a time; delays are microseconds.
 */
public sealed interface ReplicaEffect {

    record CallChanges(long call, Address to, ChangesQuery query) implements ReplicaEffect {}

    record CallSnapshot(long call, Address to, SnapshotQuery query) implements ReplicaEffect {}

    /** Ends a call: nothing that it brings counts any more. */
    record GiveUpCall(long call) implements ReplicaEffect {}

    record StartTimer(long delay, ReplicaTimer timer) implements ReplicaEffect {}

    /** Goes by a changed state from this instant on. */
    record TakeOver(StateChange change) implements ReplicaEffect {}

    /** Keeps a state for the node's next process. */
    record Keep(StoredState state) implements ReplicaEffect {}

    /** Tells people. */
    record Report(ReplicaReport report) implements ReplicaEffect {}
}
