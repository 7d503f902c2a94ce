// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** The nodes that were heard lately. */
class NodeStatusTableTest {

    private final NodeStatusTable table = new NodeStatusTable();

    private void heard(String name, long atMs) {
        table.heard(new NodeReport(name, "r1", "a1", atMs, 0), atMs);
    }

    @Test
    void theLastReportCounts() {
        heard("n1", 1);
        heard("n1", 5);
        assertEquals(1, table.recent(6).size());
        assertEquals(5, table.recent(6).get(0).report().effectiveVersion());
    }

    @Test
    void aNodeIsForgottenAfterTenMinutes() {
        heard("n1", 0);
        heard("n2", 1);
        assertEquals(2, table.recent(NodeStatusTable.NODE_EXPIRY_MS).size());
        assertEquals("n2", table.recent(NodeStatusTable.NODE_EXPIRY_MS + 1).get(0).report().name());
    }

    @Test
    void theOneThatWasNotHeardForLongestMakesRoom() {
        for (int i = 0; i < NodeStatusTable.MAX_NODES; i++) {
            heard("n" + i, i);
        }
        heard("n0", 5_000);
        heard("another", 5_001);
        assertEquals(NodeStatusTable.MAX_NODES, table.recent(5_001).size());
        assertEquals("n2", table.recent(5_001).get(0).report().name());
    }
}
