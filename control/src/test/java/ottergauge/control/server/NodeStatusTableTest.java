// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests the table of the latest node reports. */
class NodeStatusTableTest {

    private final NodeStatusTable table = new NodeStatusTable();

    private void recordReport(String name, long atMs) {
        table.record(new NodeReport(name, "r1", "a1", atMs, 0), atMs);
    }

    @Test
    void record_replacesThePreviousReport() {
        recordReport("n1", 1);
        recordReport("n1", 5);
        assertEquals(1, table.current(6).size());
        assertEquals(5, table.current(6).get(0).report().effectiveVersion());
    }

    @Test
    void node_expiresAfterTenMinutes() {
        recordReport("n1", 0);
        recordReport("n2", 1);
        assertEquals(2, table.current(NodeStatusTable.NODE_EXPIRY_MS).size());
        assertEquals(
                "n2", table.current(NodeStatusTable.NODE_EXPIRY_MS + 1).get(0).report().name());
    }

    @Test
    void fullTable_evictsTheLeastRecentlyReportedNode() {
        for (int i = 0; i < NodeStatusTable.MAX_NODES; i++) {
            recordReport("n" + i, i);
        }
        recordReport("n0", 5_000);
        recordReport("another", 5_001);
        assertEquals(NodeStatusTable.MAX_NODES, table.current(5_001).size());
        assertEquals("n2", table.current(5_001).get(0).report().name());
    }
}
