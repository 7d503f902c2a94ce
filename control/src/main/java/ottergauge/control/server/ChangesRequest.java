// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import java.util.Optional;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Subscription;

/**
 * A long poll for changes. The server responds as soon as there are changes, and at the latest
 * after {@code waitMs}.
 *
 * @param after the position that the client has reached
 * @param waitMs the maximum wait in milliseconds; 0 for an immediate response
 * @param maxBytes the maximum size of the page, in bytes of JSON
 * @param report the node's report, if the client is a node
 */
record ChangesRequest(
        LogPosition after,
        long waitMs,
        int maxBytes,
        Subscription subscription,
        Optional<NodeReport> report) {}
