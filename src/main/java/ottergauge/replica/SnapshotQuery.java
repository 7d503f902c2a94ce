// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.Optional;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.Subscription;

/**
 * A query for one page of a snapshot.
 *
 * @param log the log of the snapshot's first page; empty in the query for that page
 * @param from the key at which the page begins; empty in the query for the first page
 * @param maxBytes the maximum size of the page
 * @param subscription the resources that the node replicates
 * @param node the node's name
 */
public record SnapshotQuery(
        Optional<String> log,
        Optional<ResourceKey> from,
        int maxBytes,
        Subscription subscription,
        String node) {}
