// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import ottergauge.protocol.ProtocolException;

/**
 * Checks that the JSON of messages stays compatible with earlier builds: each sample under {@code
 * compatibility/} is read and then written back with identical bytes. Samples are never edited. A
 * new form gets its own sample.
 */
class ResourceFormatCompatibilityTest {

    private static final String FOLDER = "/compatibility/";

    private static byte[] sample(String name) throws IOException {
        try (InputStream file =
                ResourceFormatCompatibilityTest.class.getResourceAsStream(FOLDER + name)) {
            return file.readAllBytes();
        }
    }

    private static void assertSameBytes(byte[] expected, byte[] written) {
        assertEquals(
                new String(expected, StandardCharsets.UTF_8),
                new String(written, StandardCharsets.UTF_8));
    }

    @Test
    void changePage_isWrittenBackByteByByte() throws IOException, ProtocolException {
        byte[] sample = sample("change-page.json");
        ChangePage page = ResourceCodec.readChangePage(sample);
        assertEquals(2, page.changes().size());
        assertEquals(6, page.changes().get(0).puts().size());
        assertTrue(page.unreadable().isEmpty());
        assertSameBytes(sample, ResourceCodec.write(page));
    }

    @Test
    void snapshotPage_isWrittenBackByteByByte() throws IOException, ProtocolException {
        byte[] sample = sample("snapshot-page.json");
        SnapshotPage page = ResourceCodec.readSnapshotPage(sample);
        assertEquals(6, page.resources().size());
        assertTrue(page.unreadable().isEmpty());
        assertSameBytes(sample, ResourceCodec.write(page));
    }

    @Test
    void lastSnapshotPage_isWrittenBackByteByByte() throws IOException, ProtocolException {
        byte[] sample = sample("last-snapshot-page.json");
        SnapshotPage page = ResourceCodec.readSnapshotPage(sample);
        assertTrue(page.next().isEmpty());
        assertSameBytes(sample, ResourceCodec.write(page));
    }

    @Test
    void submission_isWrittenBackByteByByte() throws IOException, ProtocolException {
        byte[] sample = sample("submission.json");
        Submission submission = ResourceCodec.readSubmission(sample);
        assertEquals(6, submission.puts().size());
        assertEquals(2, submission.deletes().size());
        assertSameBytes(sample, ResourceCodec.write(submission));
    }

    @Test
    void logPosition_isWrittenBackByteByByte() throws IOException, ProtocolException {
        byte[] sample = sample("log-position.json");
        assertSameBytes(sample, ResourceCodec.write(ResourceCodec.readPosition(sample)));
    }

    @Test
    void versionTooOld_isWrittenBackByteByByte() throws IOException, ProtocolException {
        byte[] sample = sample("version-too-old.json");
        assertSameBytes(sample, ResourceCodec.write(ResourceCodec.readVersionUnavailable(sample)));
    }

    @Test
    void invalidSubmission_isWrittenBackByteByByte() throws IOException, ProtocolException {
        byte[] sample = sample("invalid-submission.json");
        assertSameBytes(sample, ResourceCodec.writeErrors(ResourceCodec.readErrors(sample)));
    }
}
