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
    void generate_sameSeedGivesTheSameListAndAnotherSeedAnother() {
        byte[] one = Fleet.generate(50, 3, Loopback.UNUSED).fullList().json();
        assertArrayEquals(one, Fleet.generate(50, 3, Loopback.UNUSED).fullList().json());
        assertNotEquals(
                Fleet.generate(50, 4, Loopback.UNUSED).fullList(),
                Fleet.generate(50, 3, Loopback.UNUSED).fullList());
    }

    @Test
    void generatedListIsUnchangedAfterEncodingAndReading() throws ProtocolException {
        EndpointList generated = Fleet.generate(50, 3, Loopback.UNUSED).fullList();
        assertEquals(generated, EndpointList.read(generated.json()));
    }

    @Test
    void change_drainsOneServerAndReturnsItWithIncreasingVersions() {
        Fleet fleet = Fleet.generate(2, 3, Loopback.UNUSED);
        List<String> changes = new ArrayList<>();
        long version = fleet.fullList().version();
        for (int i = 0; i < 5; i++) {
            EndpointList change = fleet.change();
            assertFalse(change.complete());
            assertEquals(++version, change.version());
            DiscoveredEndpoint endpoint = change.endpoints().get(0);
            changes.add(
                    endpoint.name().substring(7, 12)
                            + (endpoint.state() == EndpointState.UP ? " up" : " drains"));
        }
        assertEquals(
                List.of("00000 drains", "00000 up", "00001 drains", "00001 up", "00000 drains"),
                changes);
    }

    @Test
    void configurationIsReadWithItsListAndClasses() {
        Fleet fleet = Fleet.generate(20, 3, Loopback.UNUSED);
        NodeConfig config =
                new NodeConfiguration(
                                Loopback.port(3000), Loopback.port(8500), 5, 500, fleet.fullList())
                        .read();
        assertEquals(fleet.fullList(), config.knownEndpoints());
        assertEquals(500, config.settings().decisions().requestClasses().size());
        assertEquals(NodeConfiguration.NODES, config.settings().decisions().nodeCount());
    }
}
