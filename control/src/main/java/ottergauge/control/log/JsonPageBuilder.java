// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import ottergauge.resources.Change;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceKey;

/**
 * Assembles pages of JSON from values that were encoded once. Names and log identifiers are written
 * without escaping, because validation only allows characters that JSON doesn't escape.
 */
final class JsonPageBuilder {

    /** Upper bound of the bytes of an entry, excluding its name, service and value. */
    static final int ENTRY_OVERHEAD = 80;

    /** Upper bound of the bytes of a page or a change, excluding its entries. */
    static final int FRAME_OVERHEAD = 80;

    private final ByteArrayOutputStream bytes;

    JsonPageBuilder(int expectedSize) {
        bytes = new ByteArrayOutputStream(expectedSize);
    }

    byte[] toByteArray() {
        return bytes.toByteArray();
    }

    JsonPageBuilder text(String ascii) {
        bytes.writeBytes(ascii.getBytes(StandardCharsets.US_ASCII));
        return this;
    }

    JsonPageBuilder position(LogPosition position) {
        return text("{\"log\":\"" + position.log() + "\",\"version\":" + position.version());
    }

    JsonPageBuilder key(ResourceKey key) {
        return text("{\"kind\":\"" + key.kind().wireName() + "\",\"name\":\"" + key.name() + '"');
    }

    JsonPageBuilder value(byte[] valueJson) {
        text(",\"value\":");
        bytes.writeBytes(valueJson);
        return text("}");
    }

    JsonPageBuilder put(StoredResource put) {
        return key(put.key()).value(put.valueJson());
    }

    JsonPageBuilder resource(StoredResource resource) {
        return key(resource.key())
                .text(",\"version\":" + resource.version())
                .value(resource.valueJson());
    }

    JsonPageBuilder delete(Change.Delete delete) {
        return key(delete.key()).text(",\"service\":\"" + delete.service() + "\"}");
    }

    /** Upper bound of the entry's bytes. */
    static int sizeOf(StoredResource resource) {
        return ENTRY_OVERHEAD + resource.key().name().length() + resource.valueJson().length;
    }

    static int sizeOf(Change.Delete delete) {
        return ENTRY_OVERHEAD + delete.key().name().length() + delete.service().length();
    }

    /** Upper bound of the change's bytes. */
    static int sizeOf(StoredChange change) {
        int size = FRAME_OVERHEAD;
        for (StoredResource put : change.puts()) {
            size += sizeOf(put);
        }
        for (Change.Delete delete : change.deletes()) {
            size += sizeOf(delete);
        }
        return size;
    }
}
