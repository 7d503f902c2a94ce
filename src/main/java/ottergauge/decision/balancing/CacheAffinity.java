// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.balancing;

import ottergauge.decision.model.Server;

/**
 * Assigns affinity keys to the servers of the subset by rendezvous hashing: nodes that share
 * servers agree without a message, and a change of the list moves few keys. See docs/design.md,
 * "Cache affinity".
 */
public final class CacheAffinity {

    // An odd number with well spread bits, from the golden ratio.
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final ServerSubset subset;

    /** Creates the assignment to the servers of a subset. */
    public CacheAffinity(ServerSubset subset) {
        this.subset = subset;
    }

    /** Returns the server that a key is brought to; null if the subset is empty. */
    public Server serverOf(long key) {
        Server best = null;
        long bestHash = 0;
        for (Server server : subset.servers()) {
            long hash = hash(key, server.id());
            if (best == null || hash > bestHash) {
                best = server;
                bestHash = hash;
            }
        }
        return best;
    }

    private static long hash(long key, long serverId) {
        long mixed = (key ^ (serverId * MULTIPLIER)) * MULTIPLIER;
        return (mixed ^ (mixed >>> 32)) * MULTIPLIER;
    }
}
