// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.workload;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ottergauge.decision.api.EndpointState;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.ProtocolException;

class FleetTest {

    @Test
    void theSameSeedGivesTheSameListAndAnotherOneAnother() {
        byte[] one = Fleet.draw(50, 3, Loopback.UNUSED).whole().json();
        assertArrayEquals(one, Fleet.draw(50, 3, Loopback.UNUSED).whole().json());
        assertNotEquals(
                Fleet.draw(50, 4, Loopback.UNUSED).whole(),
                Fleet.draw(50, 3, Loopback.UNUSED).whole());
    }

    @Test
    void aListIsReadAsItWasDrawn() throws ProtocolException {
        EndpointList drawn = Fleet.draw(50, 3, Loopback.UNUSED).whole();
        assertEquals(drawn, EndpointList.read(drawn.json()));
    }

    @Test
    void changesTakeOneServerOutAndBackWithARisingVersion() {
        Fleet fleet = Fleet.draw(2, 3, Loopback.UNUSED);
        List<String> told = new ArrayList<>();
        long version = fleet.whole().version();
        for (int i = 0; i < 5; i++) {
            EndpointList change = fleet.change();
            assertFalse(change.complete());
            assertEquals(++version, change.version());
            DiscoveredEndpoint host = change.endpoints().get(0);
            told.add(
                    host.name().substring(7, 12)
                            + (host.state() == EndpointState.UP ? " up" : " drains"));
        }
        assertEquals(
                List.of("00000 drains", "00000 up", "00001 drains", "00001 up", "00000 drains"),
                told);
    }

    @Test
    void theConfigurationIsReadWithItsListAndClasses() {
        Fleet fleet = Fleet.draw(20, 3, Loopback.UNUSED);
        NodeConfig config =
                new NodeConfiguration(
                                Loopback.port(3000), Loopback.port(8500), 5, 500, fleet.whole())
                        .read();
        assertEquals(fleet.whole(), config.knownEndpoints());
        assertEquals(500, config.settings().decisions().requestClasses().size());
        assertEquals(NodeConfiguration.NODES, config.settings().decisions().nodeCount());
    }
}
