// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.workload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import ottergauge.resources.Change;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.SnapshotPage;

class VersionedFleetTest {

    private static Map<ResourceKind, Integer> counts(VersionedFleet fleet) {
        Map<ResourceKind, Integer> counts = new TreeMap<>();
        fleet.resources().forEach(each -> counts.merge(each.key().kind(), 1, Integer::sum));
        return counts;
    }

    @Test
    void generate_hasTheNumbersOfTheTargetAndScalesThemDown() {
        assertEquals(
                Map.of(
                        ResourceKind.SERVICE,
                        500,
                        ResourceKind.SERVER,
                        8_000,
                        ResourceKind.ROUTE,
                        2_700,
                        ResourceKind.TENANT,
                        38_000),
                counts(VersionedFleet.generate(8_000, 7)));
        assertEquals(
                Map.of(
                        ResourceKind.SERVICE,
                        6,
                        ResourceKind.SERVER,
                        100,
                        ResourceKind.ROUTE,
                        34,
                        ResourceKind.TENANT,
                        475),
                counts(VersionedFleet.generate(100, 7)));
    }

    @Test
    void generate_sameSeedGivesTheSameState() {
        assertEquals(
                VersionedFleet.generate(50, 3).resources(),
                VersionedFleet.generate(50, 3).resources());
    }

    @Test
    void pages_holdAllResourcesInOrderAndTheNextKey() {
        VersionedFleet fleet = VersionedFleet.generate(20, 3);
        List<SnapshotPage> pages = fleet.pages(10);
        List<Resource> all = new ArrayList<>();
        for (int i = 0; i < pages.size(); i++) {
            all.addAll(pages.get(i).resources());
            assertEquals(i + 1 < pages.size(), pages.get(i).next().isPresent());
            if (i + 1 < pages.size()) {
                assertEquals(
                        pages.get(i + 1).resources().get(0).key(),
                        pages.get(i).next().orElseThrow());
            }
        }
        assertEquals(fleet.resources(), all);
    }

    @Test
    void change_givesOneServerTheNewestVersion() {
        VersionedFleet fleet = VersionedFleet.generate(20, 3);
        long before = fleet.position().version();
        Change change = fleet.change();
        assertEquals(before + 1, change.version());
        assertEquals(1, change.puts().size());
        assertTrue(
                fleet.resources()
                        .contains(
                                new Resource(
                                        change.puts().get(0).key(),
                                        change.version(),
                                        change.puts().get(0).value())));
    }
}
