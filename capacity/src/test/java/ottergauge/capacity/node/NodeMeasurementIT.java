// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import ottergauge.capacity.node.NodeResults.Applied;
import ottergauge.capacity.node.NodeResults.LoadSlice;

/**
 * Measures a node process once, with 100 servers. The test checks counts and sets no bounds on the
 * measured times.
 */
class NodeMeasurementIT {

    private static final Path ROOT = Path.of("..");
    private static final NodeMeasurement.RunSettings SHORT_RUN =
            new NodeMeasurement.RunSettings(2, 0, 1, 1, 1, 20, 1, 1, 20_000);

    @Test
    void measure_returnsResultsOfANodeProcess() throws Exception {
        NodeResults results;
        try (NodeMeasurement measurement =
                new NodeMeasurement(RunLine.read(ROOT), ROOT, 7, 4, SHORT_RUN)) {
            results = measurement.measure(100);
        }
        assertEquals(2, results.starts().size());
        results.starts()
                .forEach(start -> assertTrue(start.readyMs() > 0 && start.residentBytes() > 0));
        assertInstanceOf(Applied.class, results.discoveryStart());
        assertTrue(results.changes().allApplied(), "the node did not apply every change");
        assertTrue(results.changes().callsPerChange() > 0);
        LoadSlice slice = results.load().slices().get(0);
        assertTrue(slice.served() > 0, "no request was served");
        assertTrue(results.peakResidentBytes() >= results.starts().get(1).residentBytes() / 2);
    }
}
