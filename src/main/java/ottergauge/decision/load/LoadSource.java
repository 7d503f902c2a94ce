// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.load;

/** The source of information about the load of servers. */
public enum LoadSource {
    /** Only this node's own attempts. */
    OWN_ATTEMPTS,
    /** The load reports that come with responses. */
    PASSIVE_REPORTS,
    /** Load probes that are sent before a server is selected. */
    ACTIVE_PROBES
}
