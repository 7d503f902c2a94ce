// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.TestConfig;

class JitWarmUpTest {

    /**
     * Guards against code that is not warmed up: a rejected warm-up request runs only a part of the
     * code on the path of a served one.
     */
    @Test
    void nearlyAllWarmUpRequestsAreServed() {
        JitWarmUp.Outcome outcome =
                JitWarmUp.run(new TestConfig().probes().build(), 1_000, Long.MAX_VALUE);
        assertEquals(1_000, outcome.requests());
        assertTrue(outcome.served() > 900, outcome.toString());
    }

    /**
     * Guards against a crash at the start. In a large fleet with expensive load probes, the
     * warm-up's router queues a request once the node has used up its share of the servers. The
     * warm-up then sent the next request on the same connection. This ended the queued request, and
     * every node of the fleet crashed.
     */
    @Test
    void queuedRequestIsAnsweredBeforeTheNextOne() {
        NodeConfig config = new TestConfig().probingNodes(600, 1).build();
        JitWarmUp.Outcome outcome = JitWarmUp.run(config, 1_000, Long.MAX_VALUE);
        assertEquals(1_000, outcome.requests());
        assertTrue(outcome.served() > 900, outcome.toString());
    }

    /**
     * With up to 1,000 warm-up requests at each node, ten of fourteen nodes that were restarted
     * together were unavailable for 4.5 s. With 60 warm-up requests at each node, the nodes of a
     * small fleet lost most client requests of their first seconds.
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
