// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.TestConfig;

class RehearsalTest {

    /** One that is refused goes through a part of the node alone, and leaves the rest cold. */
    @Test
    void nearlyAllThatIsRehearsedIsServed() {
        Rehearsal.Played played = Rehearsal.run(new TestConfig().probes().build(), 300, Long.MAX_VALUE);
        assertEquals(300, played.requests());
        assertTrue(played.served() > 250, played.toString());
    }

    /**
     * One of many nodes, with probes that are dear, holds a request while its part of the servers is used up.
     * The next one came on the same connection, which ended it, and every node of the fleet crashed at start.
     */
    @Test
    void whatIsHeldIsAnsweredBeforeTheNextRequest() {
        NodeConfig config = new TestConfig().fleet(600, 1).build();
        Rehearsal.Played played = Rehearsal.run(config, 300, Long.MAX_VALUE);
        assertEquals(300, played.requests());
        assertTrue(played.served() > 250, played.toString());
    }

    @Test
    void itEndsWhenItsTimeIsOver() {
        assertEquals(0, Rehearsal.run(new TestConfig().build(), 300, 0).requests());
    }
}
