// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import java.util.Optional;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.Subscription;

/** A call for a page of the state; {@code log} is the log that the pages before it are of. */
record SnapshotRequest(
        Optional<String> log,
        Optional<ResourceKey> from,
        int maxBytes,
        Subscription subscription) {}
