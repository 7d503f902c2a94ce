// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.workload;

import java.util.ArrayList;
import java.util.List;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.SnapshotPage;

/** A state's snapshot as it goes over sockets, in pages of nearly the bytes that nodes ask for. */
public record EncodedSnapshot(List<byte[]> pages, int resources) {

    /** The bytes of a page that nodes ask for. */
    public static final int PAGE_BYTES = 65_536;

    // The bytes of the largest resource here: so many fit into a page in any case.
    private static final int MAX_RESOURCE_BYTES = 256;

    /** Encodes all pages. */
    public static EncodedSnapshot of(VersionedFleet fleet) {
        List<byte[]> pages = new ArrayList<>();
        for (SnapshotPage page : fleet.pages(PAGE_BYTES / MAX_RESOURCE_BYTES)) {
            pages.add(ResourceCodec.write(page));
        }
        return new EncodedSnapshot(pages, fleet.resources().size());
    }

    /** The bytes of all pages. */
    public long bytes() {
        return pages.stream().mapToLong(page -> page.length).sum();
    }
}
