// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import ottergauge.resources.LogPosition;
import ottergauge.resources.Subscription;

/**
 * A long poll for the changes after a position.
 *
 * @param after the position that the node has
 * @param waitMicros how long the control process may wait for a first change
 * @param maxBytes the size of the response, unless a single change has more
 * @param subscription the resources that the node replicates
 * @param node the node's name
 * @param region the node's region
 * @param effectiveVersion the version that the node has applied of this log; 0 for none
 * @param rejectedVersion the version that the node rejected last; 0 for none
 */
public record ChangesQuery(
        LogPosition after,
        long waitMicros,
        int maxBytes,
        Subscription subscription,
        String node,
        String region,
        long effectiveVersion,
        long rejectedVersion) {}
