// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/** A request on an admin connection. */
public sealed interface AdminRequest {

    /** Whether this process accepts clients. */
    record Health() implements AdminRequest {}

    /** The node's metrics. */
    record Stats() implements AdminRequest {}

    /** The status of each server. */
    record Servers() implements AdminRequest {}

    /** Drains a server for maintenance. */
    record StartMaintenance(String server) implements AdminRequest {}

    /** Re-enables a server after maintenance. */
    record EndMaintenance(String server) implements AdminRequest {}
}
