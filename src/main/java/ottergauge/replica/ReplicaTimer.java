// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

/**
 * A timer of a replica. A timer that belongs to a call carries the call's number, by which the
 * replica recognizes a stale timer and ignores it.
 */
public sealed interface ReplicaTimer {

    /** The timeout of a call. */
    record CallTimeout(long call) implements ReplicaTimer {}

    /** The delay between the call {@code afterCall} and the next one is over. */
    record DelayElapsed(long afterCall) implements ReplicaTimer {}

    /** The replica may go back to its preferred control process. */
    record FailBackDue() implements ReplicaTimer {}

    /** The effective state may be stored again. */
    record StoreStateDue() implements ReplicaTimer {}
}
