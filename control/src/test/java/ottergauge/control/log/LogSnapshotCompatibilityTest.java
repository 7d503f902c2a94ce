// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.io.IOException;
import java.io.InputStream;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.ResourceValue;
import ottergauge.resources.Subscription;

/**
 * Checks that the stored log and the JSON pages match samples that an earlier version wrote.
 * Version 1 of the stored form is read and then written back with identical bytes.
 */
class LogSnapshotCompatibilityTest {

    private static final String FOLDER = "/compatibility/";
    private static final LogRetention THREE_CHANGES = new LogRetention(3, 1 << 20);
    private static final Subscription EVERYTHING = new Subscription(Set.of(), "default");
    private static final int PAGE_BYTES = 1 << 16;

    private static byte[] sample(String name) throws IOException {
        try (InputStream in =
                LogSnapshotCompatibilityTest.class.getResourceAsStream(FOLDER + name)) {
            return in.readAllBytes();
        }
    }

    private static ChangeLog sampleLog() throws IOException, ProtocolException {
        return ChangeLog.restore(sample("log-v1.bin"), THREE_CHANGES);
    }

    @Test
    void storedLog_isWrittenBackByteByByte() throws IOException, ProtocolException {
        assertArrayEquals(sample("log-v1.bin"), sampleLog().capture().encode());
    }

    @Test
    void storedLog_keepsPositionAndNewestChanges() throws IOException, ProtocolException {
        ChangeLog log = sampleLog();
        assertEquals(new LogPosition("9f3c", 5), log.position());
        assertEquals(3, log.oldest());
    }

    @Test
    void storedLog_keepsEveryKindOfResource() throws IOException, ProtocolException {
        List<String> keys =
                sampleLog()
                        .snapshot(Optional.empty(), EVERYTHING, PAGE_BYTES)
                        .page()
                        .resources()
                        .stream()
                        .map(each -> each.key().path() + "@" + each.version())
                        .toList();
        assertEquals(
                List.of(
                        "service/checkout@1",
                        "server/s-2@2",
                        "route/r:1@2",
                        "tenant/gold@5",
                        "settings/default@3"),
                keys);
    }

    @Test
    void storedLog_keepsOutcomesOfAcceptedSubmissions() throws IOException, ProtocolException {
        assertEquals(
                new SubmissionOutcome.Accepted(new LogPosition("9f3c", 2)),
                sampleLog().apply(SubmissionBuilder.of("id-2").tenant("unused", 1).build()));
    }

    @Test
    void storedLog_keepsOutcomesOfRejectedSubmissions() throws IOException, ProtocolException {
        SubmissionOutcome outcome =
                sampleLog().apply(SubmissionBuilder.of("id-bad").tenant("unused", 1).build());
        assertEquals(
                List.of(
                        new FieldError("put[0].value.service", "none", "a service that exists"),
                        new FieldError("delete[0].name", "silver", "a tenant that exists")),
                assertInstanceOf(SubmissionOutcome.Rejected.class, outcome).errors());
    }

    @Test
    void sameSubmissions_giveTheSameBytes() throws IOException {
        ChangeLog log = new ChangeLog("9f3c", THREE_CHANGES);
        log.apply(SubmissionBuilder.of("id-1").service("checkout").tenant("gold", 2.5).build());
        log.apply(
                SubmissionBuilder.of("id-2")
                        .server("s-1", "checkout")
                        .server("s-2", "checkout", 0.25)
                        .route("r:1", "checkout")
                        .build());
        log.apply(SubmissionBuilder.of("id-3").settings("default", 20).build());
        log.apply(
                SubmissionBuilder.of("id-bad")
                        .server("s-9", "none")
                        .delete(ResourceKind.TENANT, "silver")
                        .build());
        log.apply(SubmissionBuilder.of("id-4").delete(ResourceKind.SERVER, "s-1").build());
        log.apply(
                SubmissionBuilder.of("id-5")
                        .put(ResourceKind.TENANT, "gold", new ResourceValue.Tenant(3, 20, 10, 2))
                        .build());
        assertArrayEquals(sample("log-v1.bin"), log.capture().encode());
    }

    @Test
    void changesPage_keepsItsJson() throws IOException, ProtocolException {
        PollResponse response =
                sampleLog().changesAfter(new LogPosition("9f3c", 2), EVERYTHING, PAGE_BYTES);
        assertEquals(
                new String(sample("changes.json"), UTF_8),
                new String(
                        assertInstanceOf(PollResponse.Changes.class, response).page().json(),
                        UTF_8));
    }

    @Test
    void snapshotPage_keepsItsJson() throws IOException, ProtocolException {
        EncodedSnapshot page = sampleLog().snapshot(Optional.empty(), EVERYTHING, 200);
        assertEquals(new String(sample("snapshot.json"), UTF_8), new String(page.json(), UTF_8));
    }
}
