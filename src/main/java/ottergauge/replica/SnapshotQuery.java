// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.Optional;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.Subscription;

/**
 * Asks for a page of the state of a log (any, for the first page) that begins at a key (the first
 * one).
 */
public record SnapshotQuery(
        Optional<String> log,
        Optional<ResourceKey> from,
        int maxBytes,
        Subscription subscription,
        String node) {}
