// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.balancing;

import ottergauge.decision.model.Server;

/**
 * Assigns affinity keys to the servers of the subset by rendezvous hashing. Nodes with the same
 * servers agree on the assignment without communication, and a change of the endpoint list moves
 * few keys. See docs/design.md, "Cache affinity".
 */
public final class CacheAffinity {

    // An odd constant with evenly distributed bits, derived from the golden ratio.
    private static final long MULTIPLIER = 0x9E3779B97F4A7C15L;

    private final ServerSubset subset;

    /** Creates an assignment of keys to the servers of a subset. */
    public CacheAffinity(ServerSubset subset) {
        this.subset = subset;
    }

    /** Returns the server that a key is assigned to, or null if the subset is empty. */
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
