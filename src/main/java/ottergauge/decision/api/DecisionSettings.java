// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

import java.util.List;

/**
 * The deployment's settings that decisions depend on. All but {@code discoveryMode} may be replaced
 * while the node runs, by {@link DecisionEvent.SettingsChanged}.
 *
 * @param nodeIndex this node's index, from 0
 * @param nodeCount number of nodes in the fleet, at least 1
 * @param zone index of this node's zone; -1 if there is none
 * @param eventInterval shortest span between two events, in microseconds
 * @param discoveryMode how endpoint updates reach the node
 * @param reportsLoad whether servers report how many requests they hold
 * @param clientRetriesMarked whether clients mark their retries
 * @param cacheAffinity whether a server has less work with a key that it served lately
 * @param limits what is permitted for requests
 * @param rules figures of the rules on response times, draining and slow start
 * @param costs what probes and connections cost
 * @param requestClasses classes by index; each has a name of its own
 */
public record DecisionSettings(
        int nodeIndex,
        int nodeCount,
        int zone,
        long eventInterval,
        DiscoveryMode discoveryMode,
        boolean reportsLoad,
        boolean clientRetriesMarked,
        boolean cacheAffinity,
        RequestLimits limits,
        ServiceRules rules,
        Costs costs,
        List<RequestClass> requestClasses) {}
