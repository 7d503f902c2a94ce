// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import java.util.Optional;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Subscription;

/** A call for changes: answered as soon as there are any, and after {@code waitMs} in any case. */
record ChangesRequest(
        LogPosition after,
        long waitMs,
        int maxBytes,
        Subscription subscription,
        Optional<NodeReport> report) {}
