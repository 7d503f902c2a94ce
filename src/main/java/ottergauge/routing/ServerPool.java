// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import ottergauge.protocol.Address;

/** One server's connections, and the attempts that wait for one. */
final class ServerPool {
    final long server;
    final Address address;

    /** Whether this pool is the one of the server as it is listed now. */
    boolean listed = true;

    /** Whether attempts may be sent; a draining server's connections are not kept. */
    boolean accepting = true;

    /** Most recently used first, so that surplus connections become the oldest. */
    final Deque<PooledConnection> idle = new ArrayDeque<>();

    final Deque<Attempt> waiting = new ArrayDeque<>();

    /** Connections in progress that attempts wait for. */
    int connecting;

    /** Connections in progress that attempts no longer wait for. */
    int overdue;

    /** When the server's process started, in milliseconds since the epoch. */
    long startedAtMs;

    ServerPool(long server, Address address) {
        this.server = server;
        this.address = address;
    }
}
