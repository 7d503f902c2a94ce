// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.balancing;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.DoubleSupplier;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.model.OutstandingAttempts;
import ottergauge.decision.model.Server;
import ottergauge.decision.ring.ConsistentHashRing;

/**
 * The deterministic subset of servers that this node sends to. It contains the servers at the
 * node's points on a consistent-hash ring, on which each server has an arc in proportion to its
 * size. See docs/design.md, "Deterministic subset".
 */
public final class ServerSubset {

    // Maximum fraction of the deployment's result that open connections may cost. They also use up
    // capacity of the servers.
    private static final double MAX_CONNECTION_COST_RATIO = 0.005;
    // If a fifth of the fleet doesn't respond, often no server of a smaller subset would respond.
    private static final int MIN_SIZE = 4;
    // Maximum size if connections cost nothing, unless outstanding attempts need a larger subset.
    // The best of this number of servers is hardly worse than the best of the fleet.
    private static final int MAX_FREE_SIZE = 32;
    // Maximum mean number of nodes that have the same server in their subsets, unless outstanding
    // attempts need larger subsets. With more nodes per server, all of them would select the same
    // idle server, and each node would get load reports of a server too seldom. If there are more
    // nodes than servers, a subset may have this number of servers instead.
    private static final int NODES_PER_SERVER = 12;
    // Servers per attempt that was outstanding on average, so that most attempts find an idle
    // connection.
    private static final int SERVERS_PER_ATTEMPT = 2;
    private static final int MAX_POINTS_PER_SERVER = 4;
    // A step of the golden ratio distributes any number of points evenly over the ring.
    private static final double GOLDEN_RATIO = 0.6180339887498949;

    private final ConsistentHashRing<Server> ring;
    private final OutstandingAttempts outstanding;
    private final ClassWeights weights;
    private final DoubleSupplier serverCapacity;
    private final List<Server> servers = new ArrayList<>();
    private final List<Server> view = Collections.unmodifiableList(servers);
    private DecisionSettings settings;

    /**
     * Creates an empty subset.
     *
     * @param ring all servers of the endpoint list
     * @param serverCapacity number of requests that a server can hold on average
     */
    public ServerSubset(
            ConsistentHashRing<Server> ring,
            OutstandingAttempts outstanding,
            ClassWeights weights,
            DoubleSupplier serverCapacity) {
        this.ring = ring;
        this.outstanding = outstanding;
        this.weights = weights;
        this.serverCapacity = serverCapacity;
    }

    /** Applies new settings, which take effect at the next {@link #choose}. */
    public void applySettings(DecisionSettings next) {
        settings = next;
    }

    /**
     * Returns the servers in the order of the node's points, or in the order of the ring if the
     * subset contains every listed server.
     */
    public List<Server> servers() {
        return view;
    }

    /** Returns the number of servers in the subset. */
    public int size() {
        return servers.size();
    }

    /** Returns whether the subset leaves out any listed server. */
    public boolean isProper() {
        return servers.size() < ring.count();
    }

    /** Returns the mean number of nodes that have a given server in their subsets. */
    public double nodesPerServer() {
        return Math.max(
                1, settings.nodeCount() * Math.min(1, servers.size() / (double) ring.count()));
    }

    /**
     * Recomputes the subset and the weights of its servers. Unless the subset is to contain every
     * listed server, it leaves out servers that are ejected now.
     */
    public void choose(long now) {
        int size = targetSize();
        servers.clear();
        if (size >= ring.count()) {
            chooseAll(size);
        } else {
            chooseAtPoints(size, now);
        }
        weights.updateWeights(servers);
    }

    /** Recomputes the subset if it is smaller than its target size. */
    public void growIfWanted(long now) {
        if (targetSize() > servers.size() && isProper()) {
            choose(now);
        }
    }

    private void chooseAll(int size) {
        for (Server server : ring.first(size)) {
            if (server.state() == EndpointState.UP) {
                add(server);
            }
        }
    }

    private void chooseAtPoints(int size, long now) {
        double origin = (settings.nodeIndex() + 0.5) / settings.nodeCount();
        for (int k = 0; servers.size() < size && k < MAX_POINTS_PER_SERVER * size; k++) {
            Server server = ring.at((origin + k * GOLDEN_RATIO) % 1);
            if (server.state() == EndpointState.UP
                    && !server.health().isEjected(now)
                    && !servers.contains(server)) {
                add(server);
            }
        }
    }

    private void add(Server server) {
        weights.prepare(server);
        servers.add(server);
    }

    /**
     * Returns the target size of the subset: as many servers as the limits on connections allow, or
     * more if outstanding attempts need them.
     */
    public int targetSize() {
        double connectionsPerServer = settings.nodeCount() / (100.0 * Math.max(1, ring.count()));
        double connectionCost = settings.costs().connection() * connectionsPerServer;
        double affordableSize =
                connectionCost > 0
                        ? Math.min(MAX_FREE_SIZE, MAX_CONNECTION_COST_RATIO / connectionCost)
                        : MAX_FREE_SIZE;
        double serversPerNode = ring.count() / (double) settings.nodeCount();
        affordableSize = Math.min(affordableSize, NODES_PER_SERVER * Math.max(1, serversPerNode));
        double attempts =
                Math.max(outstanding.count(), SERVERS_PER_ATTEMPT * outstanding.meanOfLastWindow());
        double wantedSize = attempts / serverCapacity.getAsDouble();
        return (int) Math.max(MIN_SIZE, Math.max(affordableSize, wantedSize));
    }
}
