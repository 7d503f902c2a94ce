// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.util.List;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.LogPosition;

/**
 * A page of changes: as a value, and as JSON that shares the encoded values with all other answers.
 */
public final class EncodedChanges {

    private final LogPosition upTo;
    private final List<StoredChange> changes;

    EncodedChanges(LogPosition upTo, List<StoredChange> changes) {
        this.upTo = upTo;
        this.changes = List.copyOf(changes);
    }

    public LogPosition upTo() {
        return upTo;
    }

    /** Whether there is no change on it. */
    public boolean isEmpty() {
        return changes.isEmpty();
    }

    public ChangePage page() {
        return new ChangePage(upTo, changes.stream().map(StoredChange::change).toList());
    }

    /** The body of the answer, as {@code ResourceCodec.readChangePage} reads it. */
    public byte[] json() {
        int size = JsonBytes.FRAME_OVERHEAD + changes.stream().mapToInt(JsonBytes::sizeOf).sum();
        JsonBytes json = new JsonBytes(size).position(upTo).text(",\"changes\":[");
        String separator = "";
        for (StoredChange change : changes) {
            json.text(separator);
            write(json, change);
            separator = ",";
        }
        return json.text("]}").toByteArray();
    }

    private static void write(JsonBytes json, StoredChange change) {
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
