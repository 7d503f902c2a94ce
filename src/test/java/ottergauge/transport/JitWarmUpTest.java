// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.TestConfig;

class JitWarmUpTest {

    /** A rejected request runs only a part of the code, so that the rest is not warmed up. */
    @Test
    void nearlyAllWarmUpRequestsAreServed() {
        JitWarmUp.Outcome outcome =
                JitWarmUp.run(new TestConfig().probes().build(), 1_000, Long.MAX_VALUE);
        assertEquals(1_000, outcome.requests());
        assertTrue(outcome.served() > 900, outcome.toString());
    }

    /**
     * One of many nodes with expensive load probes queues a request while its share of the servers
     * is used up. The next request came on the same connection, which ended the first one, and
     * every node of the fleet crashed at the start.
     */
    @Test
    void queuedRequestIsAnsweredBeforeTheNextOne() {
        NodeConfig config = new TestConfig().probingNodes(600, 1).build();
        JitWarmUp.Outcome outcome = JitWarmUp.run(config, 1_000, Long.MAX_VALUE);
        assertEquals(1_000, outcome.requests());
        assertTrue(outcome.served() > 900, outcome.toString());
    }

    /**
     * With up to 1,000 requests each, ten of fourteen nodes that were restarted together were
     * unavailable for 4.5 s. With 60 each, the nodes of a small fleet lost most requests of their
     * first seconds.
     */
    @Test
    void nodeOfALargeFleetSendsFewerRequests() {
        assertEquals(1_000, JitWarmUp.maxRequests(1));
        assertEquals(1_000, JitWarmUp.maxRequests(3));
        assertTrue(JitWarmUp.maxRequests(14) <= 250);
        assertEquals(100, JitWarmUp.maxRequests(600));
    }

    @Test
    void warmUpEndsAtItsTimeLimit() {
        assertEquals(0, JitWarmUp.run(new TestConfig().build(), 300, 0).requests());
    }
}
