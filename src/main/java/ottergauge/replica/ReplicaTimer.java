// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

/** A timer of a replica. A stale one is ignored by the number of its call. */
public sealed interface ReplicaTimer {

    /** A call has had no response in time. */
    record CallTimeout(long call) implements ReplicaTimer {}

    /** The delay before the call that follows this one is over. */
    record DelayElapsed(long afterCall) implements ReplicaTimer {}

    /** The node may go back to its preferred control process. */
    record FailBackDue() implements ReplicaTimer {}

    /** The effective state may be stored again. */
    record StoreStateDue() implements ReplicaTimer {}
}
