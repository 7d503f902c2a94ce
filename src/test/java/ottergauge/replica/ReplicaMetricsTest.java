// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static ottergauge.replica.ReplicaDriver.change;
import static ottergauge.replica.ReplicaDriver.put;

import org.junit.jupiter.api.Test;
import ottergauge.replica.ReplicaEffect.Report;

/** Tests the metrics and reports of a replica. */
class ReplicaMetricsTest {

    @Test
    void metrics_reportAgeAndSizeOfTheState() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.changesReceived(10);
        node.now += 2_000_000;
        node.failed();
        ReplicaMetrics metrics = node.replica.metrics(node.now);
        assertEquals(2_000_000, metrics.ageMicros());
        assertEquals(1, metrics.resources());
        assertTrue(metrics.bytes() > 100);
    }

    @Test
    void eachReport_isOneLine() {
        ReplicaDriver node = ReplicaDriver.following("a");
        node.changesReceived(12, change(11, put("a", -1)));
        node.versionUnavailable("new", 1, 3);
        node.failed();
        node.failed();
        assertFalse(node.all(Report.class).isEmpty());
        node.reports()
                .forEach(
                        each ->
                                assertFalse(
                                        each.contains("\n") || each.contains("LogPosition"), each));
    }
}
