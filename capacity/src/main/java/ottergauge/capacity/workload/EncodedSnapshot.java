// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.workload;

import java.util.ArrayList;
import java.util.List;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.SnapshotPage;

/**
 * The encoded pages of a snapshot, as the control process sends them. Each page fits into the size
 * that nodes request.
 */
public record EncodedSnapshot(List<byte[]> pages, int resources) {

    /** The page size that nodes request, in bytes. */
    public static final int PAGE_BYTES = 65_536;

    // Upper bound of the encoded size of a resource in this workload. It limits the resources per
    // page.
    private static final int MAX_RESOURCE_BYTES = 256;

    /** Encodes all pages of the state. */
    public static EncodedSnapshot of(VersionedFleet fleet) {
        List<byte[]> pages = new ArrayList<>();
        for (SnapshotPage page : fleet.pages(PAGE_BYTES / MAX_RESOURCE_BYTES)) {
            pages.add(ResourceCodec.write(page));
        }
        return new EncodedSnapshot(pages, fleet.resources().size());
    }

    /** Returns the total size of all pages in bytes. */
    public long bytes() {
        return pages.stream().mapToLong(page -> page.length).sum();
    }
}
