// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.ArrayDeque;
import java.util.Deque;
import ottergauge.protocol.Address;

/** A server's connections, and what waits for one. */
final class ServerPool {
    final long server;
    Address dial;
    boolean listed = true;

    /** Whether anything new may be sent; what drains keeps no connections for later. */
    boolean usable = true;

    /** Most recently used first, so that those in excess grow old. */
    final Deque<PooledConnection> idle = new ArrayDeque<>();

    final Deque<Attempt> waiting = new ArrayDeque<>();

    /** Connections on their way that jobs wait for. */
    int connecting;

    /** Connections on their way past the patience of jobs. */
    int late;

    /** When its process started, as far as the list tells. */
    long bornMs;

    ServerPool(long server, Address dial) {
        this.server = server;
        this.dial = dial;
    }
}
