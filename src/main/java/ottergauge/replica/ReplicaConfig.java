// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.List;
import ottergauge.resources.Subscription;

/**
 * The configuration of a replica.
 *
 * @param node the node's name
 * @param region the region whose control processes are preferred
 * @param endpoints all control processes; at least one
 * @param subscription the resources that the node replicates
 * @param propagationDeadlineMicros the time within which a change has to be effective at the node
 * @param snapshotBytesPerSecond the rate at which the pages of a snapshot are fetched
 * @param storeIntervalMicros the minimum time between two stored states; 0 disables storing
 * @param limits the largest state that is applied
 */
public record ReplicaConfig(
        String node,
        String region,
        List<ControlEndpoint> endpoints,
        Subscription subscription,
        long propagationDeadlineMicros,
        long snapshotBytesPerSecond,
        long storeIntervalMicros,
        ReplicaLimits limits) {}
