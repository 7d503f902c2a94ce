// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.heap;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Bounds from both sides that hold for any layout of objects. */
class RetainedHeapTest {

    private static final long SEED = 7;
    // A server's name alone is 20 bytes and a string around them; no server of the lists here takes
    // 4 KiB.
    private static final long LEAST_A_SERVER = 60;
    private static final long MOST_A_SERVER = 4_096;

    @Test
    void whatIsRetainedGrowsWithTheServers() {
        within(RetainedHeap.ofList(100, SEED), RetainedHeap.ofList(200, SEED));
        within(RetainedHeap.ofDecisions(100, 4, SEED), RetainedHeap.ofDecisions(200, 4, SEED));
        within(RetainedHeap.ofRouter(100, 4, SEED), RetainedHeap.ofRouter(200, 4, SEED));
        within(RetainedHeap.ofToldRouter(100, 4, SEED), RetainedHeap.ofToldRouter(200, 4, SEED));
    }

    private static void within(long at100, long at200) {
        double each = (at200 - at100) / 100.0;
        assertTrue(each >= LEAST_A_SERVER && each <= MOST_A_SERVER, "a server takes " + each);
    }
}
