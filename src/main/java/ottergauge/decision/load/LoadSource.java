// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.load;

/** Where the load of servers is known from. */
public enum LoadSource {
    /** From this node's own attempts alone. */
    OWN_ATTEMPTS,
    /** From the load reports that come with responses. */
    PASSIVE_REPORTS,
    /** From probes that are sent before a server is picked. */
    ACTIVE_PROBES
}
