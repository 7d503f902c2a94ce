// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.io.ByteArrayInputStream;
import java.io.DataInputStream;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import ottergauge.control.log.IdempotencyCache.CachedOutcome;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.ResourceValidator;
import ottergauge.resources.SnapshotPage;

/** Reads and validates the stored form that {@link LogSnapshotEncoder} writes. */
final class LogSnapshotDecoder {

    private final DataInputStream in;

    private LogSnapshotDecoder(DataInputStream in) {
        this.in = in;
    }

    static LogSnapshot decode(byte[] bytes) throws ProtocolException {
        try (DataInputStream in = new DataInputStream(new ByteArrayInputStream(bytes))) {
            LogSnapshot snapshot = new LogSnapshotDecoder(in).read();
            require(in.read() < 0, "the log snapshot has trailing bytes");
            return snapshot;
        } catch (IOException e) {
            throw new ProtocolException("the log snapshot is truncated or malformed: " + e);
        }
    }

    private LogSnapshot read() throws IOException, ProtocolException {
        int magic = in.readInt();
        require(
                magic == LogSnapshotEncoder.MAGIC,
                "the log snapshot has unknown magic number 0x" + Integer.toHexString(magic));
        LogPosition position = new LogPosition(in.readUTF(), in.readLong());
        require(
                ResourceValidator.isValidName(position.log()) && position.version() >= 0,
                "the log snapshot has invalid position " + position);
        List<StoredResource> resources = readResources(position);
        List<StoredChange> changes = readChangePage(position);
        List<CachedOutcome> outcomes = readOutcomes(position);
        return new LogSnapshot(position, resources, changes, outcomes);
    }

    private List<StoredResource> readResources(LogPosition position)
            throws IOException, ProtocolException {
        List<StoredResource> resources = new ArrayList<>();
        int count = readCount(StateLimits.MAX_RESOURCES);
        while (resources.size() < count) {
            SnapshotPage page = ResourceCodec.readSnapshotPage(readPage());
            require(
                    !page.resources().isEmpty() && page.unreadable().isEmpty(),
                    "the log snapshot has an unreadable resource: " + page.unreadable());
            for (Resource resource : page.resources()) {
                require(
                        resource.version() <= position.version(),
                        "the log snapshot of version "
                                + position.version()
                                + " has a resource of version "
                                + resource.version());
                resources.add(StoredResource.of(resource));
            }
        }
        return resources;
    }

    private List<StoredChange> readChangePage(LogPosition position)
            throws IOException, ProtocolException {
        List<StoredChange> changes = new ArrayList<>();
        int count = readCount((int) Math.min(Integer.MAX_VALUE, position.version()));
        while (changes.size() < count) {
            ChangePage page = ResourceCodec.readChangePage(readPage());
            require(
                    !page.changes().isEmpty() && page.unreadable().isEmpty(),
                    "the log snapshot has an unreadable change: " + page.unreadable());
            for (Change change : page.changes()) {
                long expected = position.version() - count + changes.size() + 1;
                require(
                        change.version() == expected,
                        "the log snapshot has change "
                                + change.version()
                                + " where change "
                                + expected
                                + " is expected");
                changes.add(StoredChange.of(change));
            }
        }
        return changes;
    }

    private List<CachedOutcome> readOutcomes(LogPosition position)
            throws IOException, ProtocolException {
        List<CachedOutcome> outcomes = new ArrayList<>();
        int count = readCount(IdempotencyCache.MAX_ACCEPTED + IdempotencyCache.MAX_REJECTED);
        for (int i = 0; i < count; i++) {
            String id = in.readUTF();
            boolean accepted = in.readBoolean();
            outcomes.add(new CachedOutcome(id, accepted ? readAccepted(position) : readRejected()));
        }
        return outcomes;
    }

    private SubmissionOutcome readAccepted(LogPosition position) throws IOException {
        return new SubmissionOutcome.Accepted(new LogPosition(position.log(), in.readLong()));
    }

    private SubmissionOutcome readRejected() throws IOException, ProtocolException {
        List<FieldError> errors = new ArrayList<>();
        int count = readCount(SubmissionValidator.MAX_ERRORS);
        for (int i = 0; i < count; i++) {
            errors.add(new FieldError(in.readUTF(), in.readUTF(), in.readUTF()));
        }
        return new SubmissionOutcome.Rejected(errors);
    }

    private byte[] readPage() throws IOException, ProtocolException {
        int length = readCount(Math.min(ResourceCodec.MAX_PAGE_BYTES, in.available()));
        byte[] page = new byte[length];
        in.readFully(page);
        return page;
    }

    private int readCount(int max) throws IOException, ProtocolException {
        int count = in.readInt();
        require(
                count >= 0 && count <= max,
                "the log snapshot has count " + count + ", allowed are 0 to " + max);
        return count;
    }

    private static void require(boolean condition, String message) throws ProtocolException {
        if (!condition) {
            throw new ProtocolException(message);
        }
    }
}
