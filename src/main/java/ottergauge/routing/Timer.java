// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/** What a timer is for. Timers are never cancelled: one that is no longer wanted is passed over. */
public sealed interface Timer {

    /** The decision module's own. */
    record Wake(String token) implements Timer {}

    /** An attempt's or probe's time is over. */
    record JobDue(long job) implements Timer {}

    /** Jobs do not wait for this connection any longer. */
    record ConnectDue(long connection) implements Timer {}

    /** An answer that does not tell its length has had its time to come whole. */
    record FlowDue(long job) implements Timer {}

    /** Time to look for connections that have been idle, or half a request, for too long. */
    record Sweep() implements Timer {}

    /** The answer to a call to discovery has to be there by now. */
    record CallDue(long call) implements Timer {}

    /** Time for the next call to discovery, if none was made since the one of this number. */
    record NextCall(long after) implements Timer {}

    /** No new connections come any more after the node was told to stop. */
    record FrontQuiet() implements Timer {}
}
