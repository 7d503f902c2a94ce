// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import ottergauge.control.log.IdempotencyCache.CachedOutcome;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceChecks;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.SnapshotPage;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToIntFunction;

/**
 * All that a log holds at one instant. As bytes: a mark, the position, the resources and the
 * changes as pages in the JSON of the protocol, and the remembered outcomes.
 */
public final class LogSnapshot {

    // "OGL" and the form's number.
    private static final int MARK = 0x4f474c01;
    // Well within what the codec reads.
    private static final int MAX_PAGE_ENTRIES = 1_000;
    private static final int MOST_PAGE_BYTES = 512 << 10;

    private final LogPosition position;
    private final List<StoredResource> resources;
    private final List<StoredChange> changes;
    private final List<CachedOutcome> outcomes;

    LogSnapshot(
            LogPosition position,
            List<StoredResource> resources,
            List<StoredChange> changes,
            List<CachedOutcome> outcomes) {
        this.position = position;
        this.resources = resources;
        this.changes = changes;
        this.outcomes = outcomes;
    }

    public LogPosition position() {
        return position;
    }

    List<StoredResource> resources() {
        return resources;
    }

    /** The changes that are kept: without a gap, up to the position. */
    List<StoredChange> changes() {
        return changes;
    }

    List<CachedOutcome> outcomes() {
        return outcomes;
    }

    /** The bytes that {@link #decode} reads. */
    public byte[] encode() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (DataOutputStream out = new DataOutputStream(bytes)) {
            out.writeInt(MARK);
            out.writeUTF(position.log());
            out.writeLong(position.version());
            writePages(
                    out,
                    resources,
                    JsonPageBuilder::sizeOf,
                    page -> new EncodedSnapshot(position, page, Optional.empty()).json());
            writePages(
                    out,
                    changes,
                    JsonPageBuilder::sizeOf,
                    page -> new EncodedChanges(position, page).json());
            out.writeInt(outcomes.size());
            for (CachedOutcome remembered : outcomes) {
                write(out, remembered);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static <T> void writePages(
            DataOutputStream out,
            List<T> entries,
            ToIntFunction<T> sizeOf,
            Function<List<T>, byte[]> encoder)
            throws IOException {
        out.writeInt(entries.size());
        int from = 0;
        while (from < entries.size()) {
            int to = endOfPage(entries, from, sizeOf);
            byte[] page = encoder.apply(entries.subList(from, to));
            out.writeInt(page.length);
            out.write(page);
            from = to;
        }
    }

    private static <T> int endOfPage(List<T> entries, int from, ToIntFunction<T> sizeOf) {
        int to = from;
        long bytes = 0;
        do {
            bytes += sizeOf.applyAsInt(entries.get(to));
            to++;
        } while (to < entries.size()
                && to - from < MAX_PAGE_ENTRIES
                && bytes + sizeOf.applyAsInt(entries.get(to)) <= MOST_PAGE_BYTES);
        return to;
    }

    private static void write(DataOutputStream out, CachedOutcome remembered) throws IOException {
        out.writeUTF(remembered.id());
        if (remembered.outcome() instanceof SubmissionOutcome.Accepted accepted) {
            out.writeBoolean(true);
            out.writeLong(accepted.position().version());
        } else if (remembered.outcome() instanceof SubmissionOutcome.Rejected invalid) {
            out.writeBoolean(false);
            out.writeInt(invalid.faults().size());
            for (FieldError fault : invalid.faults()) {
                out.writeUTF(fault.key());
                out.writeUTF(fault.value());
                out.writeUTF(fault.allowed());
            }
        }
    }

    /** Reads an image; one that isn't whole is refused with one line. */
    public static LogSnapshot decode(byte[] snapshotBytes) throws ProtocolException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(snapshotBytes))) {
            LogSnapshot read = read(in);
            if (in.read() >= 0) {
                throw new ProtocolException("the image has something behind its end");
            }
            return read;
        } catch (IOException e) {
            throw new ProtocolException("the image is cut short or no image: " + e);
        }
    }

    private static LogSnapshot read(DataInputStream in) throws IOException, ProtocolException {
        require(in.readInt() == MARK, "the image begins with another mark, or has a later form");
        LogPosition position = new LogPosition(in.readUTF(), in.readLong());
        require(
                ResourceChecks.isName(position.log()) && position.version() >= 0,
                "the image has no log and version: " + position);
        List<StoredResource> resources = readResources(in, position);
        List<StoredChange> changes = readChanges(in, position);
        List<CachedOutcome> outcomes = readOutcomes(in, position);
        return new LogSnapshot(position, resources, changes, outcomes);
    }

    private static List<StoredResource> readResources(DataInputStream in, LogPosition position)
            throws IOException, ProtocolException {
        List<StoredResource> resources = new ArrayList<>();
        int entries = readCount(in, StateLimits.MAX_RESOURCES);
        while (resources.size() < entries) {
            SnapshotPage page = ResourceCodec.readSnapshot(readPage(in));
            require(
                    !page.resources().isEmpty() && page.unreadable().isEmpty(),
                    "the image has a resource that can't be read: " + page.unreadable());
            for (Resource resource : page.resources()) {
                require(
                        resource.version() <= position.version(),
                        "the image has a resource of version "
                                + resource.version()
                                + ", after its own version "
                                + position.version());
                resources.add(stored(resource));
            }
        }
        return resources;
    }

    private static List<StoredChange> readChanges(DataInputStream in, LogPosition position)
            throws IOException, ProtocolException {
        List<StoredChange> changes = new ArrayList<>();
        int entries = readCount(in, (int) Math.min(Integer.MAX_VALUE, position.version()));
        while (changes.size() < entries) {
            ChangePage page = ResourceCodec.readChanges(readPage(in));
            require(
                    !page.changes().isEmpty() && page.unreadable().isEmpty(),
                    "the image has a change that can't be read: " + page.unreadable());
            for (Change change : page.changes()) {
                require(
                        change.version() == position.version() - entries + changes.size() + 1,
                        "the image has change " + change.version() + " in the place of another");
                changes.add(stored(change));
            }
        }
        return changes;
    }

    private static StoredResource stored(Resource resource) {
        byte[] json = ResourceCodec.write(resource.value());
        return new StoredResource(resource.key(), resource.version(), resource.value(), json);
    }

    private static StoredChange stored(Change change) {
        List<StoredResource> puts =
                change.puts().stream()
                        .map(put -> stored(new Resource(put.key(), change.version(), put.value())))
                        .toList();
        return new StoredChange(change.version(), puts, change.deletes());
    }

    private static List<CachedOutcome> readOutcomes(DataInputStream in, LogPosition position)
            throws IOException, ProtocolException {
        List<CachedOutcome> outcomes = new ArrayList<>();
        int entries = readCount(in, IdempotencyCache.MAX_ACCEPTED + IdempotencyCache.MAX_REJECTED);
        for (int i = 0; i < entries; i++) {
            String id = in.readUTF();
            SubmissionOutcome outcome =
                    in.readBoolean()
                            ? new SubmissionOutcome.Accepted(
                                    new LogPosition(position.log(), in.readLong()))
                            : new SubmissionOutcome.Rejected(readFaults(in));
            outcomes.add(new CachedOutcome(id, outcome));
        }
        return outcomes;
    }

    private static List<FieldError> readFaults(DataInputStream in)
            throws IOException, ProtocolException {
        List<FieldError> faults = new ArrayList<>();
        int entries = readCount(in, SubmissionValidator.MAX_FAULTS);
        for (int i = 0; i < entries; i++) {
            faults.add(new FieldError(in.readUTF(), in.readUTF(), in.readUTF()));
        }
        return faults;
    }

    private static byte[] readPage(DataInputStream in) throws IOException, ProtocolException {
        byte[] page =
                new byte[readCount(in, Math.min(ResourceCodec.MOST_PAGE_BYTES, in.available()))];
        in.readFully(page);
        return page;
    }

    private static int readCount(DataInputStream in, int most)
            throws IOException, ProtocolException {
        int count = in.readInt();
        require(
                count >= 0 && count <= most,
                "the image counts " + count + " where " + most + " is the most");
        return count;
    }

    private static void require(boolean condition, String otherwise) throws ProtocolException {
        if (!condition) {
            throw new ProtocolException(otherwise);
        }
    }
}
