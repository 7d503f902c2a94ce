// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import ottergauge.control.log.IdempotencyCache.CachedOutcome;
import ottergauge.resources.FieldError;

/**
 * Writes the stored form of a {@link LogSnapshot}. All numbers are big-endian. The form contains,
 * in this order, the magic number, the position, the resources, the changes and the cached
 * outcomes. Resources and changes are each written as a total count, followed by length-prefixed
 * pages in the JSON of the protocol.
 */
final class LogSnapshotEncoder {

    /** "OGL" followed by the version of the format. */
    static final int MAGIC = 0x4f474c01;

    // Both are below the limits of ResourceCodec, which reads the pages.
    private static final int MAX_PAGE_ENTRIES = 1_000;
    private static final int MAX_PAGE_BYTES = 512 << 10;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    private final DataOutputStream out = new DataOutputStream(bytes);

    private LogSnapshotEncoder() {}

    static byte[] encode(LogSnapshot snapshot) {
        LogSnapshotEncoder encoder = new LogSnapshotEncoder();
        try {
            encoder.write(snapshot);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return encoder.bytes.toByteArray();
    }

    private void write(LogSnapshot snapshot) throws IOException {
        out.writeInt(MAGIC);
        out.writeUTF(snapshot.position().log());
        out.writeLong(snapshot.position().version());
        writePages(
                snapshot.resources(),
                JsonPageBuilder::sizeOf,
                page -> new EncodedSnapshot(snapshot.position(), page, Optional.empty()).json());
        writePages(
                snapshot.changes(),
                JsonPageBuilder::sizeOf,
                page -> new EncodedChanges(snapshot.position(), page).json());
        writeOutcomes(snapshot.outcomes());
    }

    private <T> void writePages(
            List<T> entries, ToIntFunction<T> sizeOf, Function<List<T>, byte[]> encodePage)
            throws IOException {
        out.writeInt(entries.size());
        int from = 0;
        while (from < entries.size()) {
            int to = endOfPage(entries, from, sizeOf);
            byte[] page = encodePage.apply(entries.subList(from, to));
            out.writeInt(page.length);
            out.write(page);
            from = to;
        }
    }

    private static <T> int endOfPage(List<T> entries, int from, ToIntFunction<T> sizeOf) {
        int to = from;
        long pageBytes = 0;
        do {
            pageBytes += sizeOf.applyAsInt(entries.get(to));
            to++;
        } while (to < entries.size()
                && to - from < MAX_PAGE_ENTRIES
                && pageBytes + sizeOf.applyAsInt(entries.get(to)) <= MAX_PAGE_BYTES);
        return to;
    }

    private void writeOutcomes(List<CachedOutcome> outcomes) throws IOException {
        out.writeInt(outcomes.size());
        for (CachedOutcome cached : outcomes) {
            out.writeUTF(cached.id());
            if (cached.outcome() instanceof SubmissionOutcome.Accepted accepted) {
                out.writeBoolean(true);
                out.writeLong(accepted.position().version());
            } else if (cached.outcome() instanceof SubmissionOutcome.Rejected rejected) {
                out.writeBoolean(false);
                writeErrors(rejected.errors());
            }
        }
    }

    private void writeErrors(List<FieldError> errors) throws IOException {
        out.writeInt(errors.size());
        for (FieldError error : errors) {
            out.writeUTF(error.key());
            out.writeUTF(error.value());
            out.writeUTF(error.allowed());
        }
    }
}
