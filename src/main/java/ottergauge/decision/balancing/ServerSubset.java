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
 * The deterministic subset of servers that this node sends to: those at the node's points of a
 * consistent-hash ring with arcs by size. See docs/design.md, "Deterministic subset".
 */
public final class ServerSubset {

    // The part of the result that open connections may cost; they take capacity of servers too.
    private static final double MAX_CONNECTION_COST_RATIO = 0.005;
    // With a fifth of the fleet silent, fewer would often all be silent.
    private static final int MIN_SIZE = 4;
    // Where connections are free: the best of so many is hardly worse than the best of all.
    private static final int MAX_FREE_SIZE = 32;
    // Or as many as put each server in so many subsets: with more of them all nodes take the same
    // free server, and hear of each too seldom.
    private static final int NODES_PER_SERVER = 12;
    // Servers for each outstanding attempt, so that most sends find an idle connection.
    private static final int SERVERS_PER_ATTEMPT = 2;
    private static final int MAX_POINTS_PER_SERVER = 4;
    // Steps of the golden ratio spread a node's points over the ring, however many they are.
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
     * @param ring all listed servers
     * @param serverCapacity requests that a mean server can hold
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

    /** Takes other settings, which the next {@link #choose} goes by. */
    public void applySettings(DecisionSettings next) {
        settings = next;
    }

    /** Returns the servers in the order of the node's points. */
    public List<Server> servers() {
        return view;
    }

    /** Returns how many servers there are. */
    public int size() {
        return servers.size();
    }

    /** Whether servers are listed that the subset leaves out. */
    public boolean isProper() {
        return servers.size() < ring.count();
    }

    /** Returns how many nodes have one server in their subsets, on average. */
    public double nodesPerServer() {
        return Math.max(
                1, settings.nodeCount() * Math.min(1, servers.size() / (double) ring.count()));
    }

    /** Chooses the servers anew, passing over those that are ejected now, and weighs them. */
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

    /** Chooses the servers anew if more are wanted than there are. */
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

    /** Returns how many servers the subset is to have. */
    public int targetSize() {
        double connectionsPerServer = settings.nodeCount() / (100.0 * Math.max(1, ring.count()));
        double price = settings.costs().connection() * connectionsPerServer;
        double affordable =
                price > 0
                        ? Math.min(MAX_FREE_SIZE, MAX_CONNECTION_COST_RATIO / price)
                        : MAX_FREE_SIZE;
        double serversPerNode = ring.count() / (double) settings.nodeCount();
        affordable = Math.min(affordable, NODES_PER_SERVER * Math.max(1, serversPerNode));
        double attempts =
                Math.max(outstanding.count(), SERVERS_PER_ATTEMPT * outstanding.meanOfLastWindow());
        double wanted = attempts / serverCapacity.getAsDouble();
        return (int) Math.max(MIN_SIZE, Math.max(affordable, wanted));
    }
}
