// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.List;
import java.util.Optional;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.SnapshotPage;

/**
 * A page of the state that is available as an object and as JSON. The JSON is assembled from
 * encoded values that all responses share.
 */
public final class EncodedSnapshot {

    private final LogPosition at;
    private final List<StoredResource> resources;
    private final Optional<ResourceKey> next;

    EncodedSnapshot(LogPosition at, List<StoredResource> resources, Optional<ResourceKey> next) {
        this.at = at;
        this.resources = List.copyOf(resources);
        this.next = next;
    }

    /** The position of the log at which the page was read. */
    public LogPosition at() {
        return at;
    }

    /** The first key of the next page; empty on the last page. */
    public Optional<ResourceKey> next() {
        return next;
    }

    /** The page as an object. */
    public SnapshotPage page() {
        return new SnapshotPage(
                at, resources.stream().map(StoredResource::resource).toList(), next);
    }

    /** The page as the response body that {@code ResourceCodec.readSnapshotPage} reads. */
    public byte[] json() {
        int size =
                2 * JsonPageBuilder.FRAME_OVERHEAD
                        + resources.stream().mapToInt(JsonPageBuilder::sizeOf).sum();
        JsonPageBuilder json = new JsonPageBuilder(size).position(at).text(",\"resources\":[");
        String separator = "";
        for (StoredResource resource : resources) {
            json.text(separator).resource(resource);
            separator = ",";
        }
        json.text("]");
        next.ifPresent(key -> json.text(",\"next\":\"" + key.path() + '"'));
        return json.text("}").toByteArray();
    }
}
