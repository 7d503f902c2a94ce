// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

import java.util.List;

/**
 * The deployment's settings that decisions depend on. All except {@code discoveryMode} may be
 * replaced at runtime by {@link DecisionEvent.SettingsChanged}.
 *
 * @param nodeIndex this node's index, from 0
 * @param nodeCount number of nodes in the fleet, at least 1
 * @param zone index of this node's zone; -1 if there is none
 * @param eventInterval minimum time between two events, in microseconds
 * @param discoveryMode how endpoint updates reach the node
 * @param reportsLoad whether servers report how many requests they hold
 * @param clientRetriesMarked whether clients mark their retries
 * @param cacheAffinity whether a server needs less work for a request if it recently served another
 *     request with the same affinity key
 * @param limits limits that apply to requests
 * @param rules parameters of response times, draining and slow start
 * @param costs costs of load probes and connections
 * @param requestClasses request classes by index, each with a unique name
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
