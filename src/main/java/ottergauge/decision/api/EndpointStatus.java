// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/** How the decision engine treats an endpoint at an instant. */
public enum EndpointStatus {
    ACTIVE,
    DRAINING,
    EJECTED,
    /** It has not responded to a load probe in time. */
    UNRESPONSIVE
}
