// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ottergauge.control.consensus.SharedLog;
import ottergauge.control.log.ChangeLog;
import ottergauge.control.log.LogRetention;
import ottergauge.control.log.SubmissionBuilder;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.Subscription;
import ottergauge.resources.VersionUnavailable;

/** Tests long polls for changes with a fake clock. */
class PendingPollsTest {

    private static final String LOG = "a1";
    private static final int MAX_PENDING = 3;

    private final SharedLog log = new SharedLog();
    private final FakeTimers timers = new FakeTimers();
    private final PendingPolls polls = new PendingPolls(log, timers, MAX_PENDING);

    PendingPollsTest() {
        log.replace(new ChangeLog(LOG, new LogRetention(5, 1 << 20)));
        log.onChange(polls::logChanged);
        log.apply(SubmissionBuilder.of("services").service("checkout").service("search").build());
    }

    private RecordingResponder poll(long after, long waitMs, String... services) {
        return poll(new LogPosition(LOG, after), waitMs, services);
    }

    private RecordingResponder poll(LogPosition after, long waitMs, String... services) {
        RecordingResponder responder = new RecordingResponder();
        polls.handle(
                responder,
                new ChangesRequest(
                        after,
                        waitMs,
                        1 << 16,
                        new Subscription(Set.of(services), "default"),
                        Optional.empty()));
        return responder;
    }

    private static ChangePage page(RecordingResponder responder) throws ProtocolException {
        assertEquals(HttpStatus.OK, responder.status);
        return ResourceCodec.readChangePage(responder.body);
    }

    private static List<Long> versions(RecordingResponder responder) throws ProtocolException {
        return page(responder).changes().stream().map(Change::version).toList();
    }

    @Test
    void availableChanges_areReturnedImmediately() throws ProtocolException {
        assertEquals(List.of(1L), versions(poll(0, 10_000)));
        assertEquals(0, polls.count());
    }

    @Test
    void pollWithoutWait_returnsAnEmptyPage() throws ProtocolException {
        ChangePage page = page(poll(1, 0));
        assertEquals(List.of(), page.changes());
        assertEquals(1, page.upTo().version());
    }

    @Test
    void change_completesThePollsThatMatchIt() throws ProtocolException {
        RecordingResponder checkout = poll(1, 10_000, "checkout");
        RecordingResponder search = poll(1, 10_000, "search");
        RecordingResponder all = poll(1, 10_000);
        log.apply(SubmissionBuilder.of("a").server("s-1", "search").build());
        assertFalse(checkout.hasResponse());
        assertEquals(List.of(2L), versions(search));
        assertEquals(List.of(2L), versions(all));
        log.apply(SubmissionBuilder.of("b").tenant("gold", 1).build());
        assertEquals(List.of(3L), versions(checkout));
        assertEquals(0, polls.count());
        assertEquals(0, timers.count());
    }

    @Test
    void poll_completesWhenItsWaitIsOver() throws ProtocolException {
        RecordingResponder checkout = poll(1, 5_000, "checkout");
        log.apply(SubmissionBuilder.of("a").server("s-1", "search").build());
        timers.advance(4_999);
        assertFalse(checkout.hasResponse());
        timers.advance(1);
        assertEquals(List.of(), versions(checkout));
        assertEquals(2, page(checkout).upTo().version());
        assertEquals(0, polls.count());
    }

    @Test
    void pendingPoll_skipsChangesThatDoNotMatch() throws ProtocolException {
        RecordingResponder checkout = poll(1, 10_000, "checkout");
        for (int i = 0; i < 20; i++) {
            log.apply(SubmissionBuilder.of("id-" + i).server("s-1", "search", i).build());
        }
        assertFalse(checkout.hasResponse());
        log.apply(SubmissionBuilder.of("last").server("s-2", "checkout").build());
        assertEquals(List.of(22L), versions(checkout));
    }

    @Test
    void pendingPolls_areLimited() throws ProtocolException {
        List<RecordingResponder> waiting =
                List.of(poll(1, 10_000), poll(1, 10_000), poll(1, 10_000));
        RecordingResponder tooMany = poll(1, 10_000);
        assertEquals(HttpStatus.UNAVAILABLE, tooMany.status);
        assertEquals("{\"error\":\"busy\"}", tooMany.text());
        waiting.get(0).disconnect();
        assertFalse(poll(1, 10_000).hasResponse());
        assertEquals(List.of(1L), versions(poll(0, 10_000)));
        assertEquals(MAX_PENDING, polls.count());
    }

    @Test
    void disconnectedClient_isRemoved() {
        RecordingResponder disconnected = poll(1, 10_000);
        disconnected.disconnect();
        assertEquals(0, polls.count());
        assertEquals(0, timers.count());
        log.apply(SubmissionBuilder.of("a").tenant("gold", 1).build());
        assertFalse(disconnected.hasResponse());
    }

    @Test
    void otherLogOrEvictedChanges_areUnavailable() throws ProtocolException {
        RecordingResponder other = poll(new LogPosition("other", 1), 10_000);
        assertEquals(HttpStatus.GONE, other.status);
        assertEquals(
                new VersionUnavailable(LOG, 1, 1),
                ResourceCodec.readVersionUnavailable(other.body));
        for (int i = 0; i < 9; i++) {
            log.apply(SubmissionBuilder.of("id-" + i).tenant("gold", i).build());
        }
        RecordingResponder old = poll(4, 10_000);
        assertEquals(
                new VersionUnavailable(LOG, 6, 10), ResourceCodec.readVersionUnavailable(old.body));
        assertEquals(List.of(6L, 7L, 8L, 9L, 10L), versions(poll(5, 10_000)));
    }

    @Test
    void clientAhead_waitsForTheProcessToCatchUp() throws ProtocolException {
        RecordingResponder ahead = poll(3, 10_000);
        log.apply(SubmissionBuilder.of("a").tenant("gold", 1).build());
        log.apply(SubmissionBuilder.of("b").tenant("gold", 2).build());
        assertFalse(ahead.hasResponse());
        log.apply(SubmissionBuilder.of("c").tenant("gold", 3).build());
        assertEquals(List.of(4L), versions(ahead));
    }

    @Test
    void clientThatStaysAhead_isRejectedAsBehind() {
        RecordingResponder ahead = poll(3, 10_000);
        timers.advance(999);
        assertFalse(ahead.hasResponse());
        timers.advance(1);
        assertEquals(HttpStatus.UNAVAILABLE, ahead.status);
        assertEquals("{\"error\":\"behind\"}", ahead.text());
        assertEquals("{\"error\":\"behind\"}", poll(3, 0).text());
    }

    @Test
    void replacedLog_completesPendingPolls() throws ProtocolException {
        RecordingResponder waiting = poll(1, 10_000);
        log.replace(new ChangeLog("b2", LogRetention.DEFAULT));
        assertEquals(
                new VersionUnavailable("b2", 1, 0),
                ResourceCodec.readVersionUnavailable(waiting.body));
    }

    @Test
    void stop_completesPendingPolls() throws ProtocolException {
        RecordingResponder waiting = poll(1, 10_000);
        polls.stop();
        assertEquals(List.of(), versions(waiting));
        assertTrue(waiting.closesConnection);
        assertTrue(poll(1, 10_000).hasResponse());
        assertEquals(0, timers.count());
    }
}
