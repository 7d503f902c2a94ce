// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ottergauge.control.consensus.SharedLog;
import ottergauge.control.log.ChangeLog;
import ottergauge.control.log.LogRetention;
import ottergauge.control.log.SubmissionBuilder;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.Subscription;
import ottergauge.resources.VersionUnavailable;

/** Tests the rate limit of snapshot pages with a fake clock. */
class SnapshotQueueTest {

    private static final int PAGE_BYTES = 10_000;
    private static final long BYTES_PER_SECOND = 100_000;

    private final SharedLog log = new SharedLog();
    private final FakeTimers timers = new FakeTimers();
    private final SnapshotQueue queue =
            new SnapshotQueue(log, timers, timers::nowMicros, BYTES_PER_SECOND);

    SnapshotQueueTest() {
        log.replace(new ChangeLog("a1", LogRetention.DEFAULT));
        SubmissionBuilder tenants = SubmissionBuilder.of("tenants");
        for (int i = 0; i < 200; i++) {
            tenants.tenant("t-" + i, i);
        }
        log.apply(tenants.build());
    }

    private RecordingResponder request(Optional<String> ofLog) {
        RecordingResponder responder = new RecordingResponder();
        queue.handle(
                responder,
                new SnapshotRequest(
                        ofLog,
                        Optional.empty(),
                        PAGE_BYTES,
                        new Subscription(Set.of(), "default")));
        return responder;
    }

    private List<RecordingResponder> requestRepeatedly(int calls) {
        List<RecordingResponder> responders = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            responders.add(request(Optional.empty()));
        }
        return responders;
    }

    private static long respondedCount(List<RecordingResponder> responders) {
        return responders.stream().filter(RecordingResponder::hasResponse).count();
    }

    @Test
    void firstPage_isWrittenImmediately() throws ProtocolException {
        RecordingResponder first = request(Optional.of("a1"));
        assertEquals(HttpStatus.OK, first.status);
        assertTrue(ResourceCodec.readSnapshotPage(first.body).next().isPresent());
    }

    @Test
    void pages_stayWithinTheRate() {
        List<RecordingResponder> responders = requestRepeatedly(100);
        long startedAtMs = timers.nowMs();
        while (respondedCount(responders) < 100) {
            timers.advance(7);
            long bytes =
                    responders.stream()
                            .filter(RecordingResponder::hasResponse)
                            .mapToLong(each -> each.body.length)
                            .sum();
            long allowed =
                    (timers.nowMs() - startedAtMs) * BYTES_PER_SECOND / 1_000 + 4 * PAGE_BYTES;
            assertTrue(bytes <= allowed, bytes + " bytes of " + allowed);
        }
        long elapsedMs = timers.nowMs() - startedAtMs;
        long bytes = responders.stream().mapToLong(each -> each.body.length).sum();
        long expectedMs = bytes * 1_000 / BYTES_PER_SECOND;
        assertTrue(
                Math.abs(elapsedMs - expectedMs) < 300,
                "took " + elapsedMs + " instead of " + expectedMs);
    }

    @Test
    void requests_areServedInOrder() {
        List<RecordingResponder> responders = requestRepeatedly(20);
        while (respondedCount(responders) < 20) {
            timers.advance(1);
            long respondedCount = respondedCount(responders);
            assertEquals(
                    respondedCount, respondedCount(responders.subList(0, (int) respondedCount)));
        }
        assertEquals(0, queue.length());
    }

    @Test
    void idleTime_isNotAccumulated() {
        timers.advance(60_000);
        assertTrue(respondedCount(requestRepeatedly(50)) <= 3);
    }

    @Test
    void page_isReadWhenItIsWritten() throws ProtocolException {
        List<RecordingResponder> responders = requestRepeatedly(10);
        log.apply(SubmissionBuilder.of("later").tenant("t-0", 7).build());
        timers.advance(5_000);
        assertEquals(1, ResourceCodec.readSnapshotPage(responders.get(0).body).at().version());
        assertEquals(2, ResourceCodec.readSnapshotPage(responders.get(9).body).at().version());
    }

    @Test
    void disconnectedClient_isRemovedFromTheQueue() {
        List<RecordingResponder> responders = requestRepeatedly(100);
        responders.subList(5, 99).forEach(RecordingResponder::disconnect);
        timers.advance(1_000);
        assertTrue(responders.get(99).hasResponse());
        assertFalse(responders.get(50).hasResponse());
    }

    @Test
    void pageOfAnotherLog_isUnavailable() throws ProtocolException {
        RecordingResponder other = request(Optional.of("b2"));
        assertEquals(HttpStatus.GONE, other.status);
        assertEquals(
                new VersionUnavailable("a1", 1, 1),
                ResourceCodec.readVersionUnavailable(other.body));
    }

    @Test
    void stop_rejectsQueuedRequests() {
        List<RecordingResponder> responders = requestRepeatedly(10);
        long before = respondedCount(responders);
        queue.stop();
        assertTrue(before < 10);
        assertEquals(10, respondedCount(responders));
        assertEquals("{\"error\":\"stopping\"}", responders.get(9).text());
        assertTrue(responders.get(9).closesConnection);
        assertEquals(HttpStatus.UNAVAILABLE, request(Optional.empty()).status);
        timers.advance(1_000);
        assertEquals(0, queue.length());
    }
}
