// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.routing.CloseReason;

/** Logs one line for each connection that ends. */
final class ConnectionLog {

    private static final Logger LOG = LoggerFactory.getLogger("ottergauge.connection");

    /** The side of connections that the node opens to itself, which are not logged. */
    static final String SELF = "itself";

    private ConnectionLog() {}

    /**
     * Logs that a connection ended or could not be established.
     *
     * @param side the peer's role: client, server, discovery or operator
     */
    static void ended(String side, Object peer, CloseReason reason) {
        if (!SELF.equals(side)) {
            LOG.info("ended side={} peer={} code={}", side, peer, reason);
        }
    }

    /** The same for a connection that ended before the request on it had its whole response. */
    static void ended(String side, Object peer, CloseReason reason, OpenExchange exchange) {
        if (!SELF.equals(side)) {
            LOG.info("ended side={} peer={} code={} {}", side, peer, reason, exchange.logFields());
        }
    }
}
