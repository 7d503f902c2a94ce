// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.SnapshotPage;

import java.util.List;
import java.util.Optional;

/**
 * A page of the state: as a value, and as JSON that shares the encoded values with all other
 * answers.
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

    public LogPosition at() {
        return at;
    }

    /** Where the following page begins; empty on the last one. */
    public Optional<ResourceKey> next() {
        return next;
    }

    public SnapshotPage page() {
        return new SnapshotPage(
                at, resources.stream().map(StoredResource::resource).toList(), next);
    }

    /** The body of the answer, as {@code ResourceCodec.readSnapshot} reads it. */
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
