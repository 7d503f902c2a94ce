// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.program;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import ottergauge.control.log.ChangeLog;
import ottergauge.control.log.LogRetention;
import ottergauge.control.log.SubmissionBuilder;
import ottergauge.control.log.SubmissionOutcome;
import ottergauge.control.program.SubmissionFile.Batch;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.ResourceValue;
import ottergauge.resources.Submission;

/** Tests files that are published as one submission or in batches. */
class SubmissionFileTest {

    @TempDir private Path folder;

    private SubmissionFile file(Submission submission) throws IOException {
        return SubmissionFile.read(
                Files.write(folder.resolve("file.json"), ResourceCodec.write(submission)));
    }

    private static SubmissionBuilder many() {
        SubmissionBuilder many = SubmissionBuilder.of("load");
        for (int i = 0; i < 1_300; i++) {
            many.server("s-" + i, "checkout");
        }
        return many.service("checkout");
    }

    private static int apply(ChangeLog log, List<Batch> batches) throws ProtocolException {
        for (Batch batch : batches) {
            Submission submission = ResourceCodec.readSubmission(batch.body());
            assertEquals(batch.id(), submission.id());
            SubmissionOutcome outcome = log.apply(submission);
            assertInstanceOf(SubmissionOutcome.Accepted.class, outcome, outcome::toString);
        }
        return log.size();
    }

    @Test
    void file_isOneSubmission() throws IOException, ProtocolException {
        Submission submission =
                SubmissionBuilder.of("a").service("checkout").tenant("gold", 2.5).build();
        assertEquals(
                submission,
                ResourceCodec.readSubmission(file(submission).asOneSubmission().body()));
    }

    @Test
    void batches_canBeAppliedInOrder() throws IOException, ProtocolException {
        ChangeLog log = new ChangeLog("a1", LogRetention.DEFAULT);
        List<Batch> batches = file(many().build()).split();
        assertEquals(
                List.of("load:1", "load:2", "load:3"), batches.stream().map(Batch::id).toList());
        assertEquals(1_301, apply(log, batches));
        SubmissionBuilder none =
                SubmissionBuilder.of("unload").delete(ResourceKind.SERVICE, "checkout");
        for (int i = 0; i < 1_300; i++) {
            none.delete(ResourceKind.SERVER, "s-" + i);
        }
        assertEquals(0, apply(log, file(none.build()).split()));
    }

    @Test
    void sameFileAgain_changesNothing() throws IOException, ProtocolException {
        ChangeLog log = new ChangeLog("a1", LogRetention.DEFAULT);
        apply(log, file(many().build()).split());
        long version = log.position().version();
        apply(log, file(many().build()).split());
        assertEquals(version, log.position().version());
    }

    @Test
    void batches_areLimitedInBytes() throws IOException {
        SubmissionBuilder longValues = SubmissionBuilder.of("long");
        for (int i = 0; i < 600; i++) {
            longValues.put(
                    ResourceKind.SERVICE, "s-" + i, new ResourceValue.Service("d".repeat(1_000)));
        }
        List<Batch> batches = file(longValues.build()).split();
        assertTrue(
                batches.stream()
                        .allMatch(
                                batch -> batch.body().length < ResourceCodec.MAX_SUBMISSION_BYTES));
    }

    @Test
    void fileWithoutId_getsAnId() throws IOException, ProtocolException {
        Path file =
                Files.writeString(
                        folder.resolve("file.json"),
                        "{\"put\":[{\"kind\":\"service\",\"name\":\"checkout\",\"value\":{}}]}");
        Batch first = SubmissionFile.read(file).asOneSubmission();
        assertEquals(first.id(), ResourceCodec.readSubmission(first.body()).id());
        assertTrue(!first.id().equals(SubmissionFile.read(file).asOneSubmission().id()));
    }

    @Test
    void malformedFile_isRejected() throws IOException {
        Path list = Files.writeString(folder.resolve("list.json"), "[]");
        assertThrows(IOException.class, () -> SubmissionFile.read(list));
        Path wrong = Files.writeString(folder.resolve("wrong.json"), "{\"put\":3}");
        assertThrows(IOException.class, () -> SubmissionFile.read(wrong));
    }
}
