// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.program;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.UUID;
import ottergauge.settings.JsonTree;

/**
 * A file that contains a submission as JSON. A submission without an id gets a random one. It may
 * be split into batches, each of which is a separate submission and becomes a separate change.
 */
final class SubmissionFile {

    /** The maximum number of entries of a batch; lower than the limit of a submission. */
    static final int MAX_BATCH_ENTRIES = 500;

    /** The maximum bytes of JSON of a batch's entries; lower than the limit of a submission. */
    static final int MAX_BATCH_BYTES = 192 * 1024;

    private static final JsonFactory JSON = new JsonFactory();
    private static final String SERVICE = "service";

    /** An encoded submission. */
    static final class Batch {

        private final String id;
        private final byte[] body;

        private Batch(String id, byte[] body) {
            this.id = id;
            this.body = body;
        }

        /** The submission's id. */
        String id() {
            return id;
        }

        /** The submission's JSON. The array is not copied, so callers must not modify it. */
        byte[] body() {
            return body;
        }
    }

    private final String id;
    private final List<?> puts;
    private final List<?> deletes;

    private SubmissionFile(String id, List<?> puts, List<?> deletes) {
        this.id = id;
        this.puts = puts;
        this.deletes = deletes;
    }

    /**
     * Reads a file.
     *
     * @throws IOException if the file can't be read or is not a submission
     */
    static SubmissionFile read(Path file) throws IOException {
        Map<String, Object> tree = JsonTree.read(Files.readAllBytes(file));
        Object id = tree.getOrDefault("id", UUID.randomUUID().toString());
        return new SubmissionFile(
                String.valueOf(id), entries(tree, "put"), entries(tree, "delete"));
    }

    private static List<?> entries(Map<String, Object> tree, String key) throws IOException {
        Object entries = tree.getOrDefault(key, List.of());
        if (entries instanceof List<?> list) {
            return list;
        }
        throw new IOException(key + " is a list, not " + entries);
    }

    /** The content as one submission, regardless of its size. */
    Batch asOneSubmission() throws IOException {
        return batch(id, puts, deletes);
    }

    /**
     * The content as batches. Services are put before the resources that refer to them and deleted
     * after them. The ids of the batches are derived from the file's id, so that a retry of the
     * same file is idempotent.
     */
    List<Batch> split() throws IOException {
        List<Batch> batches = new ArrayList<>();
        Comparator<Object> servicesFirst = Comparator.comparing(entry -> isService(entry) ? 0 : 1);
        for (List<?> chunk : chunks(puts.stream().sorted(servicesFirst).toList())) {
            batches.add(batch(id + ":" + (batches.size() + 1), chunk, List.of()));
        }
        for (List<?> chunk : chunks(deletes.stream().sorted(servicesFirst.reversed()).toList())) {
            batches.add(batch(id + ":" + (batches.size() + 1), List.of(), chunk));
        }
        return batches;
    }

    private static boolean isService(Object entry) {
        return entry instanceof Map<?, ?> fields && SERVICE.equals(fields.get("kind"));
    }

    private static List<List<?>> chunks(List<?> entries) throws IOException {
        List<List<?>> chunks = new ArrayList<>();
        List<Object> chunk = new ArrayList<>();
        int bytes = 0;
        for (Object entry : entries) {
            int size = write(out -> JsonTree.write(out, entry)).length + 1;
            if (!chunk.isEmpty()
                    && (chunk.size() == MAX_BATCH_ENTRIES || bytes + size > MAX_BATCH_BYTES)) {
                chunks.add(chunk);
                chunk = new ArrayList<>();
                bytes = 0;
            }
            chunk.add(entry);
            bytes += size;
        }
        if (!chunk.isEmpty()) {
            chunks.add(chunk);
        }
        return chunks;
    }

    private static Batch batch(String id, List<?> puts, List<?> deletes) throws IOException {
        return new Batch(
                id,
                write(
                        out -> {
                            out.writeStartObject();
                            out.writeStringField("id", id);
                            out.writeFieldName("put");
                            JsonTree.write(out, puts);
                            out.writeFieldName("delete");
                            JsonTree.write(out, deletes);
                            out.writeEndObject();
                        }));
    }

    private interface Writer {
        void write(JsonGenerator out) throws IOException;
    }

    private static byte[] write(Writer writer) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            writer.write(out);
        }
        return bytes.toByteArray();
    }
}
