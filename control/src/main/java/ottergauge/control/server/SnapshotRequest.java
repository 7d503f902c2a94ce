// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import ottergauge.resources.ResourceKey;
import ottergauge.resources.Subscription;

import java.util.Optional;

/** A call for a page of the state; {@code log} is the log that the pages before it are of. */
record SnapshotRequest(
        Optional<String> log,
        Optional<ResourceKey> from,
        int maxBytes,
        Subscription subscription) {}
