// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.List;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.LogPosition;

/**
 * A page of changes that is available as an object and as JSON. The JSON is assembled from encoded
 * values that all responses share.
 */
public final class EncodedChanges {

    private final LogPosition upTo;
    private final List<StoredChange> changes;

    EncodedChanges(LogPosition upTo, List<StoredChange> changes) {
        this.upTo = upTo;
        this.changes = List.copyOf(changes);
    }

    /** The position up to which the log was searched. The next poll continues from there. */
    public LogPosition upTo() {
        return upTo;
    }

    /** Whether the page contains no changes. */
    public boolean isEmpty() {
        return changes.isEmpty();
    }

    /** The page as an object. */
    public ChangePage page() {
        return new ChangePage(upTo, changes.stream().map(StoredChange::change).toList());
    }

    /** The page as the response body that {@code ResourceCodec.readChangePage} reads. */
    public byte[] json() {
        int size =
                JsonPageBuilder.FRAME_OVERHEAD
                        + changes.stream().mapToInt(JsonPageBuilder::sizeOf).sum();
        JsonPageBuilder json = new JsonPageBuilder(size).position(upTo).text(",\"changes\":[");
        String separator = "";
        for (StoredChange change : changes) {
            json.text(separator);
            write(json, change);
            separator = ",";
        }
        return json.text("]}").toByteArray();
    }

    private static void write(JsonPageBuilder json, StoredChange change) {
        json.text("{\"version\":" + change.version() + ",\"put\":[");
        String separator = "";
        for (StoredResource put : change.puts()) {
            json.text(separator).put(put);
            separator = ",";
        }
        json.text("],\"delete\":[");
        separator = "";
        for (Change.Delete delete : change.deletes()) {
            json.text(separator).delete(delete);
            separator = ",";
        }
        json.text("]}");
    }
}
