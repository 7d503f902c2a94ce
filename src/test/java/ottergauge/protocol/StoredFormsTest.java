// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ottergauge.decision.api.Costs;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.api.DeduplicationScope;
import ottergauge.decision.api.DiscoveryMode;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.Idempotency;
import ottergauge.decision.api.RequestClass;
import ottergauge.decision.api.RequestLimits;
import ottergauge.decision.api.ServiceRules;

/**
 * Checks that configuration files of deployments, and files that earlier versions wrote, are still
 * read in the same way.
 */
class StoredFormsTest {

    private static final EndpointList ENDPOINTS =
            new EndpointList(
                    41,
                    true,
                    List.of(
                            new DiscoveredEndpoint(
                                    "s-1",
                                    new Address("10.1.0.18", 3000),
                                    "a",
                                    "m2",
                                    3,
                                    EndpointState.UP,
                                    1.5,
                                    1_700_000_000_000L),
                            new DiscoveredEndpoint(
                                    "s-2",
                                    new Address("10.1.0.19", 3000),
                                    "b",
                                    "m1",
                                    4,
                                    EndpointState.DRAINING,
                                    1.0,
                                    0)));

    private static final List<RequestClass> CLASSES =
            List.of(
                    new RequestClass(
                            "read",
                            Idempotency.IDEMPOTENT,
                            DeduplicationScope.CELL,
                            800_000,
                            1_000_000,
                            0,
                            1.0,
                            0.25,
                            false),
                    new RequestClass(
                            "pay",
                            Idempotency.KEYED,
                            DeduplicationScope.ZONE,
                            300_000,
                            2_000_000,
                            700_000,
                            4.0,
                            0.0,
                            true),
                    new RequestClass(
                            "grant",
                            Idempotency.NON_IDEMPOTENT,
                            DeduplicationScope.FLEET,
                            1_500_000,
                            1_500_000,
                            0,
                            1.0,
                            0.0,
                            false));

    private static final NodeSettings SETTINGS =
            new NodeSettings(
                    new DecisionSettings(
                            3,
                            9,
                            1,
                            5_000,
                            DiscoveryMode.POLL,
                            true,
                            true,
                            true,
                            new RequestLimits(true, true, true, 5, 600_000),
                            new ServiceRules(5_000, 250_000, 0.3, 9_000_000, 3.0, 800_000),
                            new Costs(0.002, 0.5),
                            CLASSES),
                    List.of("a", "b"),
                    List.of("m1", "m2"),
                    200_000,
                    10_000_000,
                    7_000_000);

    private static byte[] sample(String name) throws IOException {
        try (InputStream in =
                StoredFormsTest.class.getResourceAsStream("/compatibility/protocol/" + name)) {
            return in.readAllBytes();
        }
    }

    @Test
    void configurationFile_isReadInEveryField() throws Exception {
        assertEquals(
                new NodeConfig(
                        "n7",
                        new Address("127.0.0.1", 3000),
                        new Address("127.0.0.1", 8500),
                        0x8c1f30d27a5be964L,
                        512,
                        ENDPOINTS,
                        SETTINGS,
                        Optional.of(new Address("127.0.0.1", 3900)),
                        192,
                        Optional.of(
                                new ControlPlaneConfig(
                                        List.of(
                                                new ControlPlaneConfig.Endpoint(
                                                        new Address("127.0.0.1", 9001), "r1")),
                                        "r1",
                                        Set.of("checkout"),
                                        "eu",
                                        3_000_000,
                                        16_384,
                                        Optional.of("/var/lib/ottergauge"),
                                        1_000,
                                        8 << 20))),
                NodeConfig.read(sample("node-config.json")));
    }

    @Test
    void endpointList_isReadAndWrittenByteForByte() throws Exception {
        byte[] stored = sample("endpoint-list.json");
        assertEquals(ENDPOINTS, EndpointList.read(stored));
        assertArrayEquals(stored, ENDPOINTS.json());
    }
}
