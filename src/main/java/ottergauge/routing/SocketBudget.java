// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.function.Consumer;
import ottergauge.routing.Effect.AcceptUpTo;

/**
 * How many descriptors the connections of clients and to servers may use together, and which idle
 * ones are closed where they run short. During a hot restart both processes of a node share its
 * descriptors.
 */
final class SocketBudget {

    // Files, standard streams, selector, listener, discovery, and what the system closes late.
    private static final int RESERVED_DESCRIPTORS = 64;
    // The admin listener, its connections and the files of the hot-restart directory.
    private static final int ADMIN_RESERVED_DESCRIPTORS = 32;
    // Connections that the listener may accept before it applies a lower limit.
    private static final int ACCEPT_BATCH = 16;
    // Leaves sockets for the requests of the clients that are connected.
    private static final double MAX_CLIENT_RATIO = 2.0 / 3;
    // What another process of the node may open until its connections are counted again.
    private static final double PEER_GROWTH_RATIO = 0.25;

    private final int reserved;
    private final DownstreamConnections clients;
    private final UpstreamPool upstreams;
    private final Consumer<Effect> effects;
    private int maxDescriptors;
    private boolean shared;
    private int peerConnections;
    private int maxSockets;

    SocketBudget(
            boolean hasAdminListener,
            DownstreamConnections clients,
            UpstreamPool upstreams,
            Consumer<Effect> effects) {
        reserved = RESERVED_DESCRIPTORS + (hasAdminListener ? ADMIN_RESERVED_DESCRIPTORS : 0);
        this.clients = clients;
        this.upstreams = upstreams;
        this.effects = effects;
    }

    /** The node may use this many descriptors from now on. */
    void limit(int descriptors) {
        maxDescriptors = descriptors;
        int available = descriptors - reserved;
        int besidePeer =
                Math.max(
                        available / 2,
                        (int) (available * (1 - PEER_GROWTH_RATIO)) - peerConnections);
        maxSockets = Math.max(1, shared ? besidePeer : available);
        effects.accept(new AcceptUpTo(maxClients() + ACCEPT_BATCH));
    }

    /** Whether another process of this node is present, and how many connections it has open. */
    void share(boolean peerPresent, int connections) {
        shared = peerPresent;
        peerConnections = connections;
        limit(maxDescriptors);
    }

    /** Whether another process of this node uses its descriptors too. */
    boolean isShared() {
        return shared;
    }

    private int maxClients() {
        return Math.max(1, (int) (maxSockets * MAX_CLIENT_RATIO));
    }

    /** Closes idle connections where a client that has connected is one too many. */
    void clientConnected(long now) {
        boolean closed = true;
        while (clients.openCount() > maxClients() && closed) {
            closed = clients.closeLongestIdle(now, true);
        }
        reserve(now, 0);
    }

    /**
     * Makes sockets available, for idle connections are closed before a request is rejected. Those
     * of clients go first: a new connection to a server costs more.
     *
     * @return whether that many more connections may be opened
     */
    boolean reserve(long now, int connections) {
        while (clients.openCount() + upstreams.openCount() + connections > maxSockets) {
            if (!clients.closeLongestIdle(now, false)
                    && !upstreams.closeLongestIdle()
                    && !clients.closeLongestIdle(now, true)) {
                return false;
            }
        }
        return true;
    }
}
