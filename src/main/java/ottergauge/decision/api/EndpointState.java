// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/** State of an endpoint according to discovery. */
public enum EndpointState {
    UP,
    DRAINING,
    REMOVED
}
