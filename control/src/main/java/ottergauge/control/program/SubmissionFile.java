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
 * A file with what is to be changed, in the JSON of a submission. Without an id it gets one of its
 * own. It may be split into several submissions, each of which is a change for itself.
 */
final class SubmissionFile {

    /** Of a submission that a file is split into: well within the bounds of one. */
    static final int MAX_ENTRIES = 500;

    static final int MAX_BYTES = 192 * 1024;

    private static final JsonFactory JSON = new JsonFactory();
    private static final String SERVICE = "service";

    /** A submission as it is sent. */
    record Part(String id, byte[] body) {}

    private final String id;
    private final List<?> puts;
    private final List<?> deletes;

    private SubmissionFile(String id, List<?> puts, List<?> deletes) {
        this.id = id;
        this.puts = puts;
        this.deletes = deletes;
    }

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

    /** All of it as one submission. */
    Part whole() throws IOException {
        return part(id, puts, deletes);
    }

    /**
     * As many submissions as are needed: services are put before what names them and deleted after
     * it. Their ids follow from the file's, so that the same file again changes nothing twice.
     */
    List<Part> split() throws IOException {
        List<Part> parts = new ArrayList<>();
        Comparator<Object> servicesFirst = Comparator.comparing(entry -> isService(entry) ? 0 : 1);
        for (List<?> some : chunks(puts.stream().sorted(servicesFirst).toList())) {
            parts.add(part(id + ":" + (parts.size() + 1), some, List.of()));
        }
        for (List<?> some : chunks(deletes.stream().sorted(servicesFirst.reversed()).toList())) {
            parts.add(part(id + ":" + (parts.size() + 1), List.of(), some));
        }
        return parts;
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
            if (!chunk.isEmpty() && (chunk.size() == MAX_ENTRIES || bytes + size > MAX_BYTES)) {
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

    private static Part part(String id, List<?> puts, List<?> deletes) throws IOException {
        return new Part(
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
