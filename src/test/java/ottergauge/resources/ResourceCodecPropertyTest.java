// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.SplittableRandom;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import ottergauge.protocol.ProtocolException;
import ottergauge.settings.SettingsReader;

/**
 * Written messages are read back unchanged. Arbitrary or corrupted bytes are either read or
 * rejected with a {@link ProtocolException}.
 */
class ResourceCodecPropertyTest {

    private static final int MAX_MESSAGE_CHARACTERS = 1_000;

    /** Reads bytes of one kind of message. */
    private interface Reader {
        Object read(byte[] body) throws ProtocolException;
    }

    @Provide
    Arbitrary<ChangePage> changePages() {
        return ResourceArbitraries.changePages();
    }

    @Provide
    Arbitrary<SnapshotPage> snapshotPages() {
        return ResourceArbitraries.snapshotPages();
    }

    @Provide
    Arbitrary<Submission> submissions() {
        return ResourceArbitraries.submissions();
    }

    @Provide
    Arbitrary<LogPosition> positions() {
        return ResourceArbitraries.positions();
    }

    @Provide
    Arbitrary<Change.Put> puts() {
        return ResourceArbitraries.puts();
    }

    @Property(tries = 500, seed = "51")
    void changePage_isReadAsWritten(@ForAll("changePages") ChangePage page)
            throws ProtocolException {
        assertEquals(page, ResourceCodec.readChangePage(ResourceCodec.write(page)));
    }

    @Property(tries = 500, seed = "52")
    void snapshotPage_isReadAsWritten(@ForAll("snapshotPages") SnapshotPage page)
            throws ProtocolException {
        assertEquals(page, ResourceCodec.readSnapshotPage(ResourceCodec.write(page)));
    }

    @Property(tries = 500, seed = "53")
    void submission_isReadAsWritten(@ForAll("submissions") Submission submission)
            throws ProtocolException {
        assertEquals(submission, ResourceCodec.readSubmission(ResourceCodec.write(submission)));
    }

    @Property(tries = 200, seed = "54")
    void positionAndVersionUnavailable_areReadAsWritten(@ForAll("positions") LogPosition position)
            throws ProtocolException {
        assertEquals(position, ResourceCodec.readPosition(ResourceCodec.write(position)));
        VersionUnavailable unavailable =
                new VersionUnavailable(position.log(), position.version() / 2, position.version());
        assertEquals(
                unavailable,
                ResourceCodec.readVersionUnavailable(ResourceCodec.write(unavailable)));
    }

    @Property(tries = 300, seed = "55")
    void truncatedMessage_isRejected(
            @ForAll("changePages") ChangePage page,
            @ForAll("snapshotPages") SnapshotPage snapshot,
            @ForAll("submissions") Submission submission,
            @ForAll int seed) {
        assertTruncatedIsRejected(ResourceCodec.write(page), ResourceCodec::readChangePage, seed);
        assertTruncatedIsRejected(
                ResourceCodec.write(snapshot), ResourceCodec::readSnapshotPage, seed);
        assertTruncatedIsRejected(
                ResourceCodec.write(submission), ResourceCodec::readSubmission, seed);
    }

    private static void assertTruncatedIsRejected(byte[] encoded, Reader reader, int seed) {
        int length = new SplittableRandom(seed).nextInt(encoded.length);
        assertIsOneLine(
                assertThrows(
                        ProtocolException.class,
                        () -> reader.read(Arrays.copyOf(encoded, length))));
    }

    @Property(tries = 500, seed = "56")
    void flippedBits_areReadOrRejected(
            @ForAll("changePages") ChangePage page,
            @ForAll("snapshotPages") SnapshotPage snapshot,
            @ForAll("submissions") Submission submission,
            @ForAll int seed) {
        SplittableRandom random = new SplittableRandom(seed);
        assertReadOrRejected(
                flipBits(ResourceCodec.write(page), random), ResourceCodec::readChangePage);
        assertReadOrRejected(
                flipBits(ResourceCodec.write(snapshot), random), ResourceCodec::readSnapshotPage);
        assertReadOrRejected(
                flipBits(ResourceCodec.write(submission), random), ResourceCodec::readSubmission);
    }

    private static byte[] flipBits(byte[] encoded, SplittableRandom random) {
        byte[] bytes = encoded.clone();
        int flips = random.nextInt(1, 4);
        for (int i = 0; i < flips; i++) {
            bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
        }
        return bytes;
    }

    @Provide
    Arbitrary<byte[]> arbitraryBytes() {
        Arbitrary<byte[]> bytes = Arbitraries.bytes().array(byte[].class).ofMaxSize(400);
        Arbitrary<String> pieces =
                Arbitraries.of(
                        "{",
                        "}",
                        "[",
                        "]",
                        ",",
                        ":",
                        "\"log\"",
                        "\"version\"",
                        "1",
                        "-7",
                        "1e999",
                        "null",
                        "true",
                        "\"a\"",
                        "\"changes\"",
                        "\"put\"",
                        "\"delete\"",
                        "\"kind\"",
                        "\"server\"",
                        "\"name\"",
                        "\"value\"",
                        "\"resources\"",
                        "\"next\"",
                        "\"id\"",
                        "\"\\ud800\"",
                        "{\"kind\":\"tenant\",\"name\":\"t\",\"value\":{}}",
                        "{\"version\":3}",
                        " ",
                        "\"error\"");
        return Arbitraries.oneOf(
                bytes,
                pieces.list()
                        .ofMaxSize(40)
                        .map(list -> String.join("", list).getBytes(StandardCharsets.UTF_8)));
    }

    @Property(tries = 5000, seed = "57")
    void arbitraryBytes_areReadOrRejected(@ForAll("arbitraryBytes") byte[] body) {
        assertReadOrRejected(body, ResourceCodec::readChangePage);
        assertReadOrRejected(body, ResourceCodec::readSnapshotPage);
        assertReadOrRejected(body, ResourceCodec::readSubmission);
        assertReadOrRejected(body, ResourceCodec::readVersionUnavailable);
        assertReadOrRejected(body, ResourceCodec::readPosition);
        assertReadOrRejected(body, ResourceCodec::readErrors);
    }

    // Checks that the reader either reads the bytes or throws a ProtocolException; any other
    // exception fails the property. A message that the reader has read must also be writable.
    private static void assertReadOrRejected(byte[] body, Reader reader) {
        Object read;
        try {
            read = reader.read(body);
        } catch (ProtocolException e) {
            assertIsOneLine(e);
            return;
        }
        if (read instanceof ChangePage page) {
            ResourceCodec.write(page);
        } else if (read instanceof SnapshotPage page) {
            ResourceCodec.write(page);
        } else if (read instanceof Submission submission) {
            ResourceCodec.write(submission);
        }
    }

    private static void assertIsOneLine(ProtocolException rejection) {
        assertFalse(rejection.getMessage().isBlank());
        assertTrue(
                rejection.getMessage().chars().noneMatch(Character::isISOControl),
                rejection.getMessage());
        assertTrue(
                rejection.getMessage().length() < MAX_MESSAGE_CHARACTERS, rejection.getMessage());
    }

    @Property(tries = 500, seed = "58")
    void validSettings_canBeApplied(@ForAll("puts") Change.Put put) {
        assertTrue(ResourceValidator.firstError(put.key(), put.value()).isEmpty());
        if (put.value() instanceof ResourceValue.Settings settings) {
            assertFalse(
                    new SettingsReader(settings.tree())
                            .decisionSettings()
                            .requestClasses()
                            .isEmpty());
        }
    }
}
