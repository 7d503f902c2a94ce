// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.heap;

import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Checks lower and upper bounds that hold for any object layout of the JVM. */
class RetainedHeapTest {

    private static final long SEED = 7;
    // A server's name alone takes 20 bytes and the headers of its string. No server of these lists
    // takes 4 KiB.
    private static final long MIN_BYTES_PER_SERVER = 60;
    private static final long MAX_BYTES_PER_SERVER = 4_096;

    @Test
    void retainedHeapGrowsWithTheNumberOfServers() {
        assertGrowthInBounds(
                RetainedHeap.ofEndpointList(100, SEED), RetainedHeap.ofEndpointList(200, SEED));
        assertGrowthInBounds(
                RetainedHeap.ofDecisionEngine(100, 4, SEED),
                RetainedHeap.ofDecisionEngine(200, 4, SEED));
        assertGrowthInBounds(
                RetainedHeap.ofRouterWithConfiguredList(100, 4, SEED),
                RetainedHeap.ofRouterWithConfiguredList(200, 4, SEED));
        assertGrowthInBounds(
                RetainedHeap.ofRouterWithDiscoveredList(100, 4, SEED),
                RetainedHeap.ofRouterWithDiscoveredList(200, 4, SEED));
    }

    private static void assertGrowthInBounds(long at100, long at200) {
        double bytesPerServer = (at200 - at100) / 100.0;
        assertTrue(
                bytesPerServer >= MIN_BYTES_PER_SERVER && bytesPerServer <= MAX_BYTES_PER_SERVER,
                "a server takes " + bytesPerServer);
    }
}
