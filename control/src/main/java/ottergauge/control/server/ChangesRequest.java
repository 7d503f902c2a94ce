// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import java.util.Optional;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Subscription;

/**
 * A long poll for changes: responded to once there are any, and after {@code waitMs} in any case.
 *
 * @param after the position that the client has
 * @param waitMs the longest wait in milliseconds; 0 for none
 * @param maxBytes bytes of JSON of the page
 * @param report the node's report, if a node polls
 */
record ChangesRequest(
        LogPosition after,
        long waitMs,
        int maxBytes,
        Subscription subscription,
        Optional<NodeReport> report) {}
