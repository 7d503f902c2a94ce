// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads and writes the JSON of resources, changes and their entries. A reader collects all errors.
 */
final class EntryCodec {

    static final String VERSION = "version";
    static final String PUT = "put";
    static final String DELETE = "delete";

    private static final String KIND = "kind";
    private static final String NAME = "name";
    private static final String VALUE = "value";
    private static final String SERVICE = "service";

    private EntryCodec() {}

    /** Reads the key of an entry; empty if its kind or name is invalid. */
    static Optional<ResourceKey> key(FieldReader entry) {
        int before = entry.errors().size();
        String kindName = entry.text(KIND);
        Optional<ResourceKind> kind = ResourceKind.ofWireName(kindName);
        if (kind.isEmpty() && entry.errors().size() == before) {
            entry.error(KIND, kindName, "service, server, route, tenant or settings");
        }
        String name = entry.text(NAME);
        if (entry.errors().size() == before && !ResourceValidator.isValidName(name)) {
            entry.error(NAME, name, ResourceValidator.NAME_FORMAT);
        }
        return entry.errors().size() == before
                ? Optional.of(new ResourceKey(kind.orElseThrow(), name))
                : Optional.empty();
    }

    /** Reads and validates the value of an entry; empty if it is invalid. */
    static Optional<ResourceValue> value(ResourceKey key, FieldReader entry) {
        int before = entry.errors().size();
        FieldReader fields = entry.child(VALUE);
        if (entry.errors().size() > before) {
            return Optional.empty();
        }
        Optional<ResourceValue> value = ValueCodec.read(key, fields);
        value.ifPresent(read -> ResourceValidator.check(entry.path(), key, read, entry.errors()));
        return entry.errors().size() == before ? value : Optional.empty();
    }

    /** Reads the valid put entries of a change; each invalid entry adds errors. */
    static List<Change.Put> puts(FieldReader change) {
        List<Change.Put> puts = new ArrayList<>();
        List<?> entries = change.list(PUT);
        for (int i = 0; i < entries.size() && i < ResourceValidator.MAX_ENTRIES; i++) {
            change.element(PUT, i, entries.get(i)).flatMap(EntryCodec::put).ifPresent(puts::add);
        }
        return puts;
    }

    private static Optional<Change.Put> put(FieldReader entry) {
        return key(entry)
                .flatMap(key -> value(key, entry).map(value -> new Change.Put(key, value)));
    }

    /** Reads the keys of the entries that a submission deletes. */
    static List<ResourceKey> deletedKeys(FieldReader submission) {
        List<ResourceKey> keys = new ArrayList<>();
        List<?> entries = submission.list(DELETE);
        for (int i = 0; i < entries.size() && i < ResourceValidator.MAX_ENTRIES; i++) {
            submission
                    .element(DELETE, i, entries.get(i))
                    .flatMap(EntryCodec::key)
                    .ifPresent(keys::add);
        }
        return keys;
    }

    private static List<Change.Delete> deletes(FieldReader change) {
        List<Change.Delete> deletes = new ArrayList<>();
        List<?> entries = change.list(DELETE);
        for (int i = 0; i < entries.size() && i < ResourceValidator.MAX_ENTRIES; i++) {
            change.element(DELETE, i, entries.get(i))
                    .ifPresent(
                            entry -> {
                                String service = entry.text(SERVICE, "");
                                key(entry)
                                        .ifPresent(
                                                key ->
                                                        deletes.add(
                                                                new Change.Delete(key, service)));
                            });
        }
        return deletes;
    }

    /** Adds an error if a change or a submission has too many entries. */
    static void checkEntries(FieldReader change) {
        int entries = change.list(PUT).size() + change.list(DELETE).size();
        if (entries > ResourceValidator.MAX_ENTRIES) {
            change.error(
                    PUT,
                    entries + " entries",
                    ResourceValidator.MAX_ENTRIES + " entries at most, with those of delete");
        }
    }

    /** Reads and validates a change of this version. */
    static Change change(long version, Map<?, ?> tree, FieldErrors errors) {
        FieldReader fields = new FieldReader(tree, "", errors);
        checkEntries(fields);
        Change change = new Change(version, puts(fields), deletes(fields));
        if (errors.isEmpty()) {
            ResourceValidator.check(change, errors);
        }
        return change;
    }

    /** Reads and validates an entry of a snapshot; empty if it is invalid. */
    static Optional<Resource> resource(FieldReader entry) {
        int before = entry.errors().size();
        long version = entry.integer(VERSION, 1, FieldReader.MAX_SAFE_INTEGER);
        Optional<ResourceKey> key = key(entry);
        Optional<ResourceValue> value = key.flatMap(each -> value(each, entry));
        return entry.errors().size() > before
                ? Optional.empty()
                : Optional.of(new Resource(key.orElseThrow(), version, value.orElseThrow()));
    }

    static void write(JsonGenerator out, Change change) throws IOException {
        out.writeStartObject();
        out.writeNumberField(VERSION, change.version());
        writePuts(out, change.puts());
        out.writeArrayFieldStart(DELETE);
        for (Change.Delete delete : change.deletes()) {
            out.writeStartObject();
            writeKey(out, delete.key());
            out.writeStringField(SERVICE, delete.service());
            out.writeEndObject();
        }
        out.writeEndArray();
        out.writeEndObject();
    }

    static void writePuts(JsonGenerator out, List<Change.Put> puts) throws IOException {
        out.writeArrayFieldStart(PUT);
        for (Change.Put put : puts) {
            out.writeStartObject();
            writeKey(out, put.key());
            writeValue(out, put.value());
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    static void writeDeletedKeys(JsonGenerator out, List<ResourceKey> keys) throws IOException {
        out.writeArrayFieldStart(DELETE);
        for (ResourceKey key : keys) {
            out.writeStartObject();
            writeKey(out, key);
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    static void write(JsonGenerator out, Resource resource) throws IOException {
        out.writeStartObject();
        writeKey(out, resource.key());
        out.writeNumberField(VERSION, resource.version());
        writeValue(out, resource.value());
        out.writeEndObject();
    }

    private static void writeKey(JsonGenerator out, ResourceKey key) throws IOException {
        out.writeStringField(KIND, key.kind().wireName());
        out.writeStringField(NAME, key.name());
    }

    private static void writeValue(JsonGenerator out, ResourceValue value) throws IOException {
        out.writeFieldName(VALUE);
        ValueCodec.write(out, value);
    }
}
