// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.function.Consumer;
import ottergauge.routing.Effect.AcceptUpTo;

/**
 * Limits the file descriptors that connections from clients and to servers use together, and closes
 * idle connections when descriptors run short. During a hot restart both processes of a node share
 * its descriptors.
 */
final class SocketBudget {

    // Files, standard streams, selector, listener, discovery, and sockets that the system closes
    // late.
    private static final int RESERVED_DESCRIPTORS = 64;
    // The admin listener, its connections and the files of the hot-restart directory.
    private static final int ADMIN_RESERVED_DESCRIPTORS = 32;
    // Connections that the listener may accept before it applies a lower limit.
    private static final int ACCEPT_BATCH = 16;
    // Maximum fraction of the sockets for clients' connections. The rest is for the connections to
    // servers that clients' requests need.
    private static final double MAX_CLIENT_RATIO = 2.0 / 3;
    // Fraction of the descriptors for connections that the node's other process may open before its
    // connections are counted again.
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

    /** Sets the number of descriptors that the node may use. */
    void setMaxDescriptors(int descriptors) {
        maxDescriptors = descriptors;
        int available = descriptors - reserved;
        int availableWithPeer =
                Math.max(
                        available / 2,
                        (int) (available * (1 - PEER_GROWTH_RATIO)) - peerConnections);
        maxSockets = Math.max(1, shared ? availableWithPeer : available);
        effects.accept(new AcceptUpTo(maxClients() + ACCEPT_BATCH));
    }

    /**
     * Sets whether another process of this node is running, and how many connections it has open.
     */
    void setPeer(boolean peerPresent, int connections) {
        shared = peerPresent;
        peerConnections = connections;
        setMaxDescriptors(maxDescriptors);
    }

    /** Whether another process of this node uses its descriptors too. */
    boolean isShared() {
        return shared;
    }

    private int maxClients() {
        return Math.max(1, (int) (maxSockets * MAX_CLIENT_RATIO));
    }

    /**
     * Closes connections if the client that has just connected exceeds a limit: idle ones, then
     * those that have been sending a request for longest, since most clients need only a moment for
     * that, and then those that have just become idle and may have a request on its way. If there
     * are none, the new client is closed.
     */
    void clientConnected(long now, long client) {
        boolean closed = true;
        while (clients.openCount() > maxClients() && closed) {
            closed =
                    clients.closeLongestIdle(now, false)
                            || clients.closeLongestUnfinished()
                            || clients.closeLongestIdleExcept(client);
        }
        if (clients.openCount() > maxClients()) {
            clients.closeIdle(client, CloseReason.SOCKETS_SHORT);
        }
        reserve(now, 0);
    }

    /**
     * Makes sockets available by closing connections, so that a complete request is rejected only
     * if all others carry one too. Idle connections of clients are closed first, since a new
     * connection to a server costs more, and those with unfinished requests last.
     *
     * @return whether this number of further connections may be opened
     */
    boolean reserve(long now, int connections) {
        while (clients.openCount() + upstreams.openCount() + connections > maxSockets) {
            if (!clients.closeLongestIdle(now, false)
                    && !upstreams.closeLongestIdle()
                    && !clients.closeLongestIdle(now, true)
                    && !clients.closeLongestUnfinished()) {
                return false;
            }
        }
        return true;
    }
}
