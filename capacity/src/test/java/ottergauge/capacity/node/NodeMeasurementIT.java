// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import ottergauge.capacity.node.NodeFigures.LoadSlice;
import ottergauge.capacity.node.NodeFigures.Taken;

/**
 * Measures a real process of the node once, with 100 servers: by counts, whatever time it takes.
 */
class NodeMeasurementIT {

    private static final Path ROOT = Path.of("..");
    private static final NodeMeasurement.Effort SHORT =
            new NodeMeasurement.Effort(2, 0, 1, 1, 1, 20, 1, 1, 20_000);

    @Test
    void aNodeIsMeasured() throws Exception {
        NodeFigures figures;
        try (NodeMeasurement measurement =
                new NodeMeasurement(RunLine.read(ROOT), ROOT, 7, 4, SHORT)) {
            figures = measurement.measure(100);
        }
        assertEquals(2, figures.starts().size());
        figures.starts()
                .forEach(start -> assertTrue(start.readyMs() > 0 && start.residentBytes() > 0));
        assertInstanceOf(Taken.class, figures.told());
        assertTrue(figures.changes().followed(), "the node has taken each change");
        assertTrue(figures.changes().callsPerChange() > 0);
        LoadSlice slice = figures.load().slices().get(0);
        assertTrue(slice.served() > 0, "requests were served");
        assertTrue(figures.peakResidentBytes() >= figures.starts().get(1).residentBytes() / 2);
    }
}
