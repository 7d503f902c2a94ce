// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import ottergauge.resources.LogPosition;
import ottergauge.resources.Subscription;

/**
 * Asks for the changes after a position, to wait so many microseconds for the first one. {@code
 * inForce} and {@code refused} are told with it: the version that the node goes by and the one that
 * it refused last.
 */
public record ChangesQuery(
        LogPosition after,
        long waitMicros,
        int maxBytes,
        Subscription subscription,
        String node,
        String region,
        long effectiveVersion,
        long rejected) {}
