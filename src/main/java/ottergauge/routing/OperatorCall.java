// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/** What an operator asks of the node at its door. */
public sealed interface OperatorCall {

    /** Whether this process takes clients. */
    record Health() implements OperatorCall {}

    record Stats() implements OperatorCall {}

    /** How each server stands. */
    record Servers() implements OperatorCall {}

    /** Takes a server out. */
    record Maint(String server) implements OperatorCall {}

    /** Puts a server back. */
    record Ready(String server) implements OperatorCall {}
}
