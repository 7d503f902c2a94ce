// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.routing.CloseReason;

/** One line for each connection that ends. */
final class ConnectionLog {

    private static final Logger LOG = LoggerFactory.getLogger("ottergauge.connection");

    private ConnectionLog() {
    }

    static void ended(String side, Object peer, CloseReason reason) {
        LOG.info("ended side={} peer={} code={}", side, peer, reason);
    }
}
