// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

/** A timer of a replica. One that came too late is told from the current one by its number. */
public sealed interface ReplicaTimer {

    /** The time of this call is over. */
    record CallTimeout(long call) implements ReplicaTimer {}

    /** A pause after this call is over. */
    record DelayElapsed(long after) implements ReplicaTimer {}

    /** It is time to go back to the control process that is the first one for this node. */
    record FailBackDue() implements ReplicaTimer {}

    /** A state in force may be handed out to be kept. */
    record StoreStateDue() implements ReplicaTimer {}
}
