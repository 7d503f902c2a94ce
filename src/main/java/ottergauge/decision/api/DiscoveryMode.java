// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/** How endpoint updates reach the node. */
public enum DiscoveryMode {
    PUSH,
    POLL
}
