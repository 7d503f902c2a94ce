// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.routing.CloseReason;

/** One line for each connection that ends. */
final class ConnectionLog {

    private static final Logger LOG = LoggerFactory.getLogger("ottergauge.connection");

    /** The side of connections that the node has with itself. */
    static final String UNTOLD = "itself";

    private ConnectionLog() {}

    static void ended(String side, Object peer, CloseReason reason) {
        if (!UNTOLD.equals(side)) {
            LOG.info("ended side={} peer={} code={}", side, peer, reason);
        }
    }
}
