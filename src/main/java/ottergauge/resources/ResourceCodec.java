// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ottergauge.protocol.ProtocolException;
import ottergauge.settings.JsonTree;

/**
 * Reads and writes the JSON messages between nodes, control processes and operators
 * (docs/control.md).
 *
 * <p>A message that can't be read causes a {@link ProtocolException} whose one-line message names
 * the field and its value. Unknown fields are ignored. An invalid change of a page, or an invalid
 * entry of a snapshot, is returned as unreadable together with the valid ones, so that the reader
 * can reject it by its version and continue.
 */
public final class ResourceCodec {

    /**
     * The longest page or error response that is read, in bytes. A page may be longer than its
     * query allows, because it has at least one change.
     */
    public static final int MAX_PAGE_BYTES = 1 << 20;

    /** The longest submission that is read, in bytes. */
    public static final int MAX_SUBMISSION_BYTES = 256 * 1024;

    /** The most changes or resources of one page. */
    public static final int MAX_PAGE_ENTRIES = 16_384;

    private static final String LOG = "log";
    private static final String VERSION = "version";
    private static final String CHANGES = "changes";
    private static final String RESOURCES = "resources";
    private static final String NEXT = "next";
    private static final String ID = "id";
    private static final String ERROR = "error";
    private static final String TOO_OLD = "too_old";
    private static final String INVALID = "invalid";
    private static final String OLDEST = "oldest";
    private static final String FAULTS = "faults";
    private static final String KEY = "key";
    private static final String VALUE = "value";
    private static final String ALLOWED = "allowed";

    private ResourceCodec() {}

    // ---- Pages of changes

    /** Reads a page of changes. */
    public static ChangePage readChangePage(byte[] body) throws ProtocolException {
        Map<String, Object> head = new LinkedHashMap<>();
        List<Change> changes = new ArrayList<>();
        List<UnreadableChange> unreadable = new ArrayList<>();
        JsonMessage.read(
                body,
                "a page of changes",
                MAX_PAGE_BYTES,
                (name, in) -> {
                    if (name.equals(CHANGES)) {
                        head.put(CHANGES, List.of());
                        JsonMessage.readList(
                                CHANGES,
                                in,
                                MAX_PAGE_ENTRIES,
                                (index, tree) -> readChange(index, tree, changes, unreadable));
                    } else {
                        readHead(name, in, head);
                    }
                });
        LogPosition upTo = position(head, CHANGES);
        return new ChangePage(upTo, List.copyOf(changes), List.copyOf(unreadable));
    }

    private static void readChange(
            int index,
            Map<String, Object> tree,
            List<Change> changes,
            List<UnreadableChange> unreadable)
            throws ProtocolException {
        FieldErrors errors = new FieldErrors();
        long version =
                new FieldReader(tree, CHANGES + "[" + index + "]", errors)
                        .integer(VERSION, 1, FieldReader.MAX_SAFE_INTEGER);
        throwIfAny(errors);
        Change change = EntryCodec.change(version, tree, errors);
        if (errors.isEmpty()) {
            changes.add(change);
        } else {
            unreadable.add(new UnreadableChange(version, errors.first().orElseThrow()));
        }
    }

    /** Writes a page of changes. */
    public static byte[] write(ChangePage page) {
        return JsonMessage.write(
                out -> {
                    writePosition(out, page.upTo());
                    out.writeArrayFieldStart(CHANGES);
                    for (Change change : page.changes()) {
                        EntryCodec.write(out, change);
                    }
                    out.writeEndArray();
                });
    }

    // ---- Pages of a snapshot

    /** Reads a page of a snapshot. */
    public static SnapshotPage readSnapshotPage(byte[] body) throws ProtocolException {
        Map<String, Object> head = new LinkedHashMap<>();
        List<Resource> resources = new ArrayList<>();
        List<UnreadableResource> unreadable = new ArrayList<>();
        JsonMessage.read(
                body,
                "a page of a snapshot",
                MAX_PAGE_BYTES,
                (name, in) -> {
                    if (name.equals(RESOURCES)) {
                        head.put(RESOURCES, List.of());
                        JsonMessage.readList(
                                RESOURCES,
                                in,
                                MAX_PAGE_ENTRIES,
                                (index, tree) -> readResource(index, tree, resources, unreadable));
                    } else {
                        readHead(name, in, head);
                    }
                });
        LogPosition at = position(head, RESOURCES);
        return new SnapshotPage(at, List.copyOf(resources), next(head), List.copyOf(unreadable));
    }

    private static void readResource(
            int index,
            Map<String, Object> tree,
            List<Resource> resources,
            List<UnreadableResource> unreadable) {
        FieldErrors errors = new FieldErrors();
        FieldReader fields = new FieldReader(tree, RESOURCES + "[" + index + "]", errors);
        Optional<Resource> resource = EntryCodec.resource(fields);
        resource.ifPresent(resources::add);
        errors.first()
                .ifPresent(
                        error ->
                                unreadable.add(
                                        new UnreadableResource(
                                                EntryCodec.key(
                                                        new FieldReader(
                                                                tree, "", new FieldErrors())),
                                                error)));
    }

    private static Optional<ResourceKey> next(Map<String, Object> head) throws ProtocolException {
        if (head.get(NEXT) == null) {
            return Optional.empty();
        }
        FieldErrors errors = new FieldErrors();
        String path = new FieldReader(head, "", errors).text(NEXT);
        Optional<ResourceKey> key =
                ResourceKey.parsePath(path)
                        .filter(each -> ResourceValidator.isValidName(each.name()));
        if (key.isEmpty()) {
            errors.add(NEXT, path, "a kind, / and a name");
        }
        throwIfAny(errors);
        return key;
    }

    /** Writes a page of a snapshot. */
    public static byte[] write(SnapshotPage page) {
        return JsonMessage.write(
                out -> {
                    writePosition(out, page.at());
                    out.writeArrayFieldStart(RESOURCES);
                    for (Resource resource : page.resources()) {
                        EntryCodec.write(out, resource);
                    }
                    out.writeEndArray();
                    if (page.next().isPresent()) {
                        out.writeStringField(NEXT, page.next().get().path());
                    }
                });
    }

    /** Writes only the value of an entry, so that many responses can share the encoded bytes. */
    public static byte[] write(ResourceValue value) {
        return JsonMessage.writeValue(out -> ValueCodec.write(out, value));
    }

    // ---- Submissions

    /**
     * Reads and validates a submission.
     *
     * @throws InvalidSubmissionException if it is JSON but invalid; contains all its errors
     * @throws ProtocolException if it is not JSON, or too long
     */
    public static Submission readSubmission(byte[] body) throws ProtocolException {
        Map<String, Object> tree = JsonMessage.readTree(body, "a submission", MAX_SUBMISSION_BYTES);
        FieldErrors errors = new FieldErrors();
        FieldReader fields = new FieldReader(tree, "", errors);
        EntryCodec.checkEntries(fields);
        Submission submission =
                new Submission(
                        fields.text(ID), EntryCodec.puts(fields), EntryCodec.deletedKeys(fields));
        if (errors.isEmpty()) {
            ResourceValidator.check(submission, errors);
        }
        if (!errors.isEmpty()) {
            throw new InvalidSubmissionException(errors.all());
        }
        return submission;
    }

    /** Writes a submission. */
    public static byte[] write(Submission submission) {
        return JsonMessage.write(
                out -> {
                    out.writeStringField(ID, submission.id());
                    EntryCodec.writePuts(out, submission.puts());
                    EntryCodec.writeDeletedKeys(out, submission.deletes());
                });
    }

    // ---- Other responses

    /** Reads the response to an accepted submission. */
    public static LogPosition readPosition(byte[] body) throws ProtocolException {
        return position(JsonMessage.readTree(body, "an answer", MAX_PAGE_BYTES), null);
    }

    /** Writes the response to an accepted submission. */
    public static byte[] write(LogPosition position) {
        return JsonMessage.write(out -> writePosition(out, position));
    }

    /** Reads the response to a poll that can't be served. */
    public static VersionUnavailable readVersionUnavailable(byte[] body) throws ProtocolException {
        Map<String, Object> tree = JsonMessage.readTree(body, "an answer", MAX_PAGE_BYTES);
        LogPosition newest = position(tree, null);
        FieldErrors errors = new FieldErrors();
        FieldReader fields = new FieldReader(tree, "", errors);
        checkError(fields, TOO_OLD);
        long oldest = fields.integer(OLDEST, 0, FieldReader.MAX_SAFE_INTEGER);
        throwIfAny(errors);
        return new VersionUnavailable(newest.log(), oldest, newest.version());
    }

    /** Writes the response to a poll that can't be served. */
    public static byte[] write(VersionUnavailable unavailable) {
        return JsonMessage.write(
                out -> {
                    out.writeStringField(ERROR, TOO_OLD);
                    out.writeStringField(LOG, unavailable.log());
                    out.writeNumberField(OLDEST, unavailable.oldest());
                    out.writeNumberField(VERSION, unavailable.newest());
                });
    }

    /** Reads the errors of a rejected submission. */
    public static List<FieldError> readErrors(byte[] body) throws ProtocolException {
        Map<String, Object> tree = JsonMessage.readTree(body, "an answer", MAX_PAGE_BYTES);
        FieldErrors errors = new FieldErrors();
        FieldReader fields = new FieldReader(tree, "", errors);
        checkError(fields, INVALID);
        List<FieldError> read = new ArrayList<>();
        List<?> entries = fields.list(FAULTS);
        for (int i = 0; i < entries.size() && i < FieldErrors.MAX_ERRORS; i++) {
            fields.element(FAULTS, i, entries.get(i))
                    .ifPresent(
                            entry ->
                                    read.add(
                                            new FieldError(
                                                    entry.text(KEY),
                                                    entry.text(VALUE),
                                                    entry.text(ALLOWED))));
        }
        throwIfAny(errors);
        return read;
    }

    /** Writes the errors of a rejected submission. */
    public static byte[] writeErrors(List<FieldError> errors) {
        return JsonMessage.write(
                out -> {
                    out.writeStringField(ERROR, INVALID);
                    out.writeArrayFieldStart(FAULTS);
                    for (FieldError error : errors) {
                        out.writeStartObject();
                        out.writeStringField(KEY, error.key());
                        out.writeStringField(VALUE, error.value());
                        out.writeStringField(ALLOWED, error.allowed());
                        out.writeEndObject();
                    }
                    out.writeEndArray();
                });
    }

    // ---- Common fields

    private static void readHead(String name, JsonParser in, Map<String, Object> head)
            throws IOException {
        if (name.equals(LOG) || name.equals(VERSION) || name.equals(NEXT)) {
            head.put(name, JsonTree.value(in));
        } else {
            in.skipChildren();
        }
    }

    private static LogPosition position(Map<String, Object> head, String requiredList)
            throws ProtocolException {
        FieldErrors errors = new FieldErrors();
        FieldReader fields = new FieldReader(head, "", errors);
        String log = fields.text(LOG);
        if (errors.isEmpty()) {
            ResourceValidator.checkName(LOG, log, errors);
        }
        long version = fields.integer(VERSION, 0, FieldReader.MAX_SAFE_INTEGER);
        if (requiredList != null && !head.containsKey(requiredList)) {
            fields.error(requiredList, null, "a list");
        }
        throwIfAny(errors);
        return new LogPosition(log, version);
    }

    private static void writePosition(JsonGenerator out, LogPosition position) throws IOException {
        out.writeStringField(LOG, position.log());
        out.writeNumberField(VERSION, position.version());
    }

    private static void checkError(FieldReader fields, String expected) {
        String error = fields.text(ERROR);
        if (!error.equals(expected)) {
            fields.error(ERROR, error, expected);
        }
    }

    private static void throwIfAny(FieldErrors errors) throws ProtocolException {
        Optional<FieldError> first = errors.first();
        if (first.isPresent()) {
            throw new ProtocolException(first.get().toString());
        }
    }
}
