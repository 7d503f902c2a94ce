// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/** What an operator asks of the node at its door. */
public sealed interface AdminRequest {

    /** Whether this process takes clients. */
    record Health() implements AdminRequest {}

    record Stats() implements AdminRequest {}

    /** How each server stands. */
    record Servers() implements AdminRequest {}

    /** Takes a server out. */
    record Maint(String server) implements AdminRequest {}

    /** Puts a server back. */
    record Ready(String server) implements AdminRequest {}
}
