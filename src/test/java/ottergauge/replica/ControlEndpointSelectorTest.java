// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import ottergauge.protocol.Address;

class ControlEndpointSelectorTest {

    private static final int NODES = 780;

    private static List<ControlEndpoint> addresses(String... regions) {
        List<ControlEndpoint> addresses = new ArrayList<>();
        for (int i = 0; i < regions.length; i++) {
            addresses.add(new ControlEndpoint(new Address("10.0.0." + i, 9000), regions[i]));
        }
        return addresses;
    }

    @Test
    void endpointsOfOwnRegion_comeFirst() {
        for (int i = 0; i < NODES; i++) {
            ControlEndpointSelector selector =
                    new ControlEndpointSelector("n" + i, "b", addresses("a", "b", "c", "b"));
            assertEquals("b", selector.current().region());
            assertTrue(selector.advance());
            assertEquals("b", selector.current().region());
        }
    }

    @Test
    void nodes_areDistributedOverTheirRegionAndOverAllOthersIfItsProcessFails() {
        Map<ControlEndpoint, Integer> firsts = new HashMap<>();
        Map<ControlEndpoint, Integer> seconds = new HashMap<>();
        for (int i = 0; i < NODES; i++) {
            ControlEndpointSelector selector =
                    new ControlEndpointSelector("n" + i, "a", addresses("a", "b", "c", "d"));
            selector.advance();
            seconds.merge(selector.current(), 1, Integer::sum);
            firsts.merge(
                    new ControlEndpointSelector("n" + i, "a", addresses("a", "a", "a", "a"))
                            .current(),
                    1,
                    Integer::sum);
        }
        assertEquals(4, firsts.size());
        firsts.values().forEach(nodes -> assertTrue(nodes > 140 && nodes < 250, firsts.toString()));
        assertEquals(3, seconds.size());
        seconds.values()
                .forEach(nodes -> assertTrue(nodes > 200 && nodes < 320, seconds.toString()));
    }

    @Test
    void round_visitsEachOnceAndTheRespondingOneLast() {
        ControlEndpointSelector selector =
                new ControlEndpointSelector("n", "a", addresses("a", "b", "c", "d"));
        selector.advance();
        ControlEndpoint responded = selector.current();
        selector.recordResponse();
        HashSet<ControlEndpoint> visited = new HashSet<>();
        ControlEndpoint last = responded;
        while (selector.advance()) {
            last = selector.current();
            assertTrue(visited.add(last));
        }
        assertEquals(4, visited.size());
        assertEquals(responded, last);
        assertFalse(selector.advance());
    }
}
