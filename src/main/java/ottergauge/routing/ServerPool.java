// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import ottergauge.protocol.Address;

/** One server's connections, and the attempts that wait for a connection. */
final class ServerPool {
    final long server;
    final Address address;

    /** Whether the server is still listed with this address and process. */
    boolean listed = true;

    /** Whether attempts may be sent. Idle connections to a draining server are closed. */
    boolean accepting = true;

    /**
     * Most recently used first, so that connections that are no longer needed stay idle until they
     * time out.
     */
    final Deque<PooledConnection> idle = new ArrayDeque<>();

    final Deque<Attempt> waiting = new ArrayDeque<>();

    /** The number of connections being established that attempts wait for. */
    int connecting;

    /** The number of connections being established that attempts no longer wait for. */
    int overdue;

    /** When the server's process started, in milliseconds since the epoch. */
    long startedAtMs;

    ServerPool(long server, Address address) {
        this.server = server;
        this.address = address;
    }
}
