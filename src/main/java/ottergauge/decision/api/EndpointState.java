// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/** State of an endpoint as discovery knows it. */
public enum EndpointState {
    UP,
    DRAINING,
    REMOVED
}
