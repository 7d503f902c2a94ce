// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.workload;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceCodec;

class EncodedSnapshotTest {

    @Test
    void pagesHoldAllResourcesAndStayWithinThePageSize() throws ProtocolException {
        VersionedFleet fleet = VersionedFleet.generate(100, 7);
        EncodedSnapshot encoded = EncodedSnapshot.of(fleet);
        List<Resource> read = new ArrayList<>();
        for (byte[] page : encoded.pages()) {
            assertTrue(page.length <= EncodedSnapshot.PAGE_BYTES, "a page of " + page.length);
            read.addAll(ResourceCodec.readSnapshotPage(page).resources());
        }
        assertEquals(fleet.resources(), read);
        assertEquals(read.size(), encoded.resources());
    }
}
