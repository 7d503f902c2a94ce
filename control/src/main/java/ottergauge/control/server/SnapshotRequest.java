// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import java.util.Optional;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.Subscription;

/**
 * A request for a page of the state.
 *
 * @param log the log of the previous pages; empty for the first page
 * @param from the first key of the page; empty for the first page
 * @param maxBytes the maximum size of the page, in bytes of JSON
 */
record SnapshotRequest(
        Optional<String> log,
        Optional<ResourceKey> from,
        int maxBytes,
        Subscription subscription) {}
