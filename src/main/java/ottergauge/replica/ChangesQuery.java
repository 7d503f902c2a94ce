// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import ottergauge.resources.LogPosition;
import ottergauge.resources.Subscription;

/**
 * A long poll for the changes after a position.
 *
 * @param after the position that the node has reached
 * @param waitMicros how long the control process may wait for a first change
 * @param maxBytes the maximum size of the response, unless its first change alone is larger
 * @param subscription the resources that the node replicates
 * @param node the node's name
 * @param region the node's region
 * @param effectiveVersion the version of this log that the node has applied; 0 for none
 * @param rejectedVersion the version that the node most recently rejected; 0 for none
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
