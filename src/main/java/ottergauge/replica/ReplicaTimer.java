// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

/** A timer of a replica. One that came too late is told from the current one by its number. */
public sealed interface ReplicaTimer {

    /** The time of this call is over. */
    record CallDue(long call) implements ReplicaTimer {}

    /** A pause after this call is over. */
    record PauseOver(long after) implements ReplicaTimer {}

    /** It is time to go back to the control process that is the first one for this node. */
    record ReturnDue() implements ReplicaTimer {}

    /** A state in force may be handed out to be kept. */
    record KeepDue() implements ReplicaTimer {}
}
