// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import ottergauge.control.consensus.Role;
import ottergauge.resources.LogPosition;

/** Tests the exact JSON of the status call. */
class StatusJsonTest {

    private static final long NOW_MS = 10_000;

    @Test
    void status_namesTheProcessAndEachNode() {
        NodeReport node = new NodeReport("n1", "r1", "9f3c", 120, 119);
        byte[] json =
                StatusJson.of(
                        "c1",
                        Role.LEADER,
                        Optional.of("c1"),
                        Optional.of(new LogPosition("9f3c", 121)),
                        80,
                        List.of(new NodeStatusTable.NodeStatus(node, NOW_MS - 310)),
                        NOW_MS);
        assertEquals(
                "{\"name\":\"c1\",\"log\":\"9f3c\",\"version\":121,\"oldest\":80,"
                        + "\"role\":\"leader\",\"leader\":\"c1\",\"nodes\":[{\"name\":\"n1\","
                        + "\"region\":\"r1\",\"log\":\"9f3c\",\"in_force\":120,\"refused\":119,"
                        + "\"heard_ms\":310}]}",
                new String(json, UTF_8));
    }

    @Test
    void statusWithoutLogAndLeader_hasEmptyFields() {
        byte[] json =
                StatusJson.of(
                        "c2", Role.STARTING, Optional.empty(), Optional.empty(), 0, List.of(), 0);
        assertEquals(
                "{\"name\":\"c2\",\"log\":\"\",\"version\":0,\"oldest\":0,\"role\":\"starting\","
                        + "\"leader\":\"\",\"nodes\":[]}",
                new String(json, UTF_8));
    }
}
