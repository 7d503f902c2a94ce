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

/** Pages of snapshots at a paced rate, on a fake clock. */
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

    private List<RecordingResponder> requestOften(int calls) {
        List<RecordingResponder> responders = new ArrayList<>();
        for (int i = 0; i < calls; i++) {
            responders.add(request(Optional.empty()));
        }
        return responders;
    }

    private static long answered(List<RecordingResponder> responders) {
        return responders.stream().filter(RecordingResponder::isAnswered).count();
    }

    @Test
    void firstPage_isWrittenImmediately() throws ProtocolException {
        RecordingResponder first = request(Optional.of("a1"));
        assertEquals(HttpStatus.OK, first.status);
        assertTrue(ResourceCodec.readSnapshotPage(first.body).next().isPresent());
    }

    @Test
    void pages_stayWithinTheRate() {
        List<RecordingResponder> responders = requestOften(100);
        long begun = timers.nowMs();
        while (answered(responders) < 100) {
            timers.advance(7);
            long bytes =
                    responders.stream()
                            .filter(RecordingResponder::isAnswered)
                            .mapToLong(each -> each.body.length)
                            .sum();
            long allowed = (timers.nowMs() - begun) * BYTES_PER_SECOND / 1_000 + 4 * PAGE_BYTES;
            assertTrue(bytes <= allowed, bytes + " bytes of " + allowed);
        }
        long tookMs = timers.nowMs() - begun;
        long bytes = responders.stream().mapToLong(each -> each.body.length).sum();
        long neededMs = bytes * 1_000 / BYTES_PER_SECOND;
        assertTrue(Math.abs(tookMs - neededMs) < 300, "took " + tookMs + " instead of " + neededMs);
    }

    @Test
    void requests_areServedInOrder() {
        List<RecordingResponder> responders = requestOften(20);
        while (answered(responders) < 20) {
            timers.advance(1);
            long answered = answered(responders);
            assertEquals(answered, answered(responders.subList(0, (int) answered)));
        }
        assertEquals(0, queue.length());
    }

    @Test
    void idleTime_isNotAccumulated() {
        timers.advance(60_000);
        assertTrue(answered(requestOften(50)) <= 3);
    }

    @Test
    void page_isReadWhenItIsWritten() throws ProtocolException {
        List<RecordingResponder> responders = requestOften(10);
        log.apply(SubmissionBuilder.of("later").tenant("t-0", 7).build());
        timers.advance(5_000);
        assertEquals(1, ResourceCodec.readSnapshotPage(responders.get(0).body).at().version());
        assertEquals(2, ResourceCodec.readSnapshotPage(responders.get(9).body).at().version());
    }

    @Test
    void disconnectedClient_isRemovedFromTheQueue() {
        List<RecordingResponder> responders = requestOften(100);
        responders.subList(5, 99).forEach(RecordingResponder::leave);
        timers.advance(1_000);
        assertTrue(responders.get(99).isAnswered());
        assertFalse(responders.get(50).isAnswered());
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
        List<RecordingResponder> responders = requestOften(10);
        long before = answered(responders);
        queue.stop();
        assertTrue(before < 10);
        assertEquals(10, answered(responders));
        assertEquals("{\"error\":\"stopping\"}", responders.get(9).text());
        assertTrue(responders.get(9).closesConnection);
        assertEquals(HttpStatus.UNAVAILABLE, request(Optional.empty()).status);
        timers.advance(1_000);
        assertEquals(0, queue.length());
    }
}
