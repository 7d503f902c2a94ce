// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.TestConfig;

class JitWarmUpTest {

    /** One that is refused goes through a part of the node alone, and leaves the rest cold. */
    @Test
    void nearlyAllThatIsRehearsedIsServed() {
        JitWarmUp.Outcome outcome =
                JitWarmUp.run(new TestConfig().probes().build(), 1_000, Long.MAX_VALUE);
        assertEquals(1_000, outcome.requests());
        assertTrue(outcome.served() > 900, outcome.toString());
    }

    /**
     * One of many nodes, with probes that are dear, holds a request while its part of the servers
     * is used up. The next one came on the same connection, which ended it, and every node of the
     * fleet crashed at start.
     */
    @Test
    void whatIsHeldIsAnsweredBeforeTheNextRequest() {
        NodeConfig config = new TestConfig().probingNodes(600, 1).build();
        JitWarmUp.Outcome outcome = JitWarmUp.run(config, 1_000, Long.MAX_VALUE);
        assertEquals(1_000, outcome.requests());
        assertTrue(outcome.served() > 900, outcome.toString());
    }

    /**
     * With up to 1,000 requests each, ten of fourteen nodes restarted together were away for 4.5 s;
     * with 60 each, the nodes of a small fleet lost most of their first seconds' requests.
     */
    @Test
    void oneOfManyRehearsesLessThanOneOfFew() {
        assertEquals(1_000, JitWarmUp.maxRequests(1));
        assertEquals(1_000, JitWarmUp.maxRequests(3));
        assertTrue(JitWarmUp.maxRequests(14) <= 250);
        assertEquals(100, JitWarmUp.maxRequests(600));
    }

    @Test
    void itEndsWhenItsTimeIsOver() {
        assertEquals(0, JitWarmUp.run(new TestConfig().build(), 300, 0).requests());
    }
}
