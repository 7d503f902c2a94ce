// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import static java.nio.charset.StandardCharsets.UTF_8;

import org.junit.jupiter.api.Test;

import ottergauge.protocol.ProtocolException;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceChecks;
import ottergauge.resources.ResourceCodec;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.ResourceValue;
import ottergauge.resources.Submission;
import ottergauge.resources.Subscription;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** What is accepted, what subscribers are told, and what is kept, case by case. */
class ChangeLogTest {

    private static final String LOG = "9f3c";
    private static final int ALL_BYTES = 1 << 19;
    private static final Subscription EVERYTHING = new Subscription(Set.of(), "default");

    private final ChangeLog log = new ChangeLog(LOG, LogRetention.DEFAULT);

    private long accepted(Submissions submission) {
        SubmissionOutcome outcome = log.apply(submission.build());
        return assertInstanceOf(SubmissionOutcome.Accepted.class, outcome, outcome::toString)
                .position()
                .version();
    }

    private List<FieldError> refused(Submissions submission) {
        LogPosition before = log.position();
        SubmissionOutcome outcome = log.apply(submission.build());
        assertEquals(before, log.position(), "something of it was taken");
        return assertInstanceOf(SubmissionOutcome.Rejected.class, outcome).faults();
    }

    private static void assertFault(
            String key, String value, String allowed, List<FieldError> faults) {
        assertEquals(List.of(new FieldError(key, value, allowed)), faults);
    }

    private ChangePage changesAfter(long version, Subscription subscription) {
        PollResponse answer =
                log.changesAfter(new LogPosition(LOG, version), subscription, ALL_BYTES);
        return assertInstanceOf(PollResponse.Changes.class, answer).page().page();
    }

    private static List<Long> versions(ChangePage page) {
        return page.changes().stream().map(Change::version).toList();
    }

    @Test
    void versionsCountAcceptedChangesAlone() {
        assertEquals(1, accepted(Submissions.of("a").service("checkout")));
        refused(Submissions.of("b").server("s-1", "search"));
        assertEquals(2, accepted(Submissions.of("c").server("s-1", "checkout")));
        assertEquals(new LogPosition(LOG, 2), log.position());
    }

    @Test
    void aServerNamesAServiceThatExists() {
        assertFault(
                "put[0].value.service",
                "checkout",
                "a service that exists",
                refused(Submissions.of("a").server("s-1", "checkout")));
        accepted(Submissions.of("b").server("s-1", "checkout").service("checkout"));
    }

    @Test
    void aServerKeepsItsService() {
        accepted(
                Submissions.of("a")
                        .service("checkout")
                        .service("search")
                        .server("s-1", "checkout"));
        assertFault(
                "put[0].value.service",
                "search",
                "checkout, the service that the resource belongs to",
                refused(Submissions.of("b").server("s-1", "search")));
        accepted(Submissions.of("c").server("s-1", "checkout", 2));
    }

    @Test
    void aServiceGoesOnlyWhenNothingNamesIt() {
        accepted(
                Submissions.of("a")
                        .service("checkout")
                        .server("s-1", "checkout")
                        .route("r", "checkout"));
        String allowed = "a service that no server and no route names; this one has ";
        assertFault(
                "delete[0].name",
                "checkout",
                allowed + 2,
                refused(Submissions.of("b").delete(ResourceKind.SERVICE, "checkout")));
        assertFault(
                "delete[1].name",
                "checkout",
                allowed + 1,
                refused(
                        Submissions.of("c")
                                .delete(ResourceKind.SERVER, "s-1")
                                .delete(ResourceKind.SERVICE, "checkout")));
        accepted(
                Submissions.of("d")
                        .delete(ResourceKind.SERVICE, "checkout")
                        .delete(ResourceKind.SERVER, "s-1")
                        .delete(ResourceKind.ROUTE, "r"));
        assertEquals(0, log.size());
    }

    @Test
    void noServerIsPutWithTheServiceThatGoes() {
        accepted(Submissions.of("a").service("checkout"));
        assertFault(
                "put[0].value.service",
                "checkout",
                "a service that exists",
                refused(
                        Submissions.of("b")
                                .server("s-1", "checkout")
                                .delete(ResourceKind.SERVICE, "checkout")));
    }

    @Test
    void whatDoesNotExistIsNotDeleted() {
        assertFault(
                "delete[0].name",
                "gold",
                "a tenant that exists",
                refused(Submissions.of("a").delete(ResourceKind.TENANT, "gold")));
    }

    @Test
    void allFaultsAreToldUpToAHundred() {
        Submissions many = Submissions.of("a");
        for (int i = 0; i < 150; i++) {
            many.server("s-" + i, "checkout");
        }
        List<FieldError> faults = refused(many);
        assertEquals(100, faults.size());
        assertEquals("put[99].value.service", faults.get(99).key());
    }

    @Test
    void aMalformedEntryIsRefused() {
        assertEquals(
                "put[0].value.requests_per_second",
                refused(Submissions.of("a").tenant("gold", -3)).get(0).key());
        assertFalse(refused(Submissions.of("b").tenant("gold", 1).tenant("gold", 2)).isEmpty());
        assertFalse(refused(Submissions.of("c")).isEmpty());
        assertFalse(refused(Submissions.of("not a name").tenant("gold", 1)).isEmpty());
    }

    @Test
    void aChangeThatIsTooLongIsRefused() {
        Submissions long1 = Submissions.of("a");
        String name = "t".repeat(120);
        for (int i = 0; i < 1_000; i++) {
            long1.tenant(name + i, 1);
        }
        assertEquals("262144 bytes of the change at most", refused(long1).get(0).allowed());
    }

    @Test
    void resourcesAreBoundedByNumber() {
        for (int change = 0;
                change < StateLimits.MAX_RESOURCES / ResourceChecks.MOST_ENTRIES;
                change++) {
            Submissions tenants = Submissions.of("id-" + change);
            for (int i = 0; i < ResourceChecks.MOST_ENTRIES; i++) {
                tenants.tenant(change + "-" + i, 1);
            }
            accepted(tenants);
        }
        assertFault(
                "put",
                "200001 resources in all",
                "200000 resources in all at most",
                refused(Submissions.of("more").tenant("gold", 1)));
        accepted(Submissions.of("another-value").tenant("0-0", 2));
        accepted(
                Submissions.of("one-for-another")
                        .tenant("gold", 1)
                        .delete(ResourceKind.TENANT, "0-0"));
    }

    @Test
    void resourcesAreBoundedByBytes() {
        ResourceValue longValue = new ResourceValue.Service("d".repeat(1_000));
        int changes = 0;
        while (log.apply(services("id-" + changes, changes, longValue))
                instanceof SubmissionOutcome.Accepted) {
            changes++;
        }
        long bytes = 230L * (changes + 1) * (1_000 + JsonPageBuilder.ENTRY_OVERHEAD);
        assertTrue(bytes > StateLimits.MAX_STATE_BYTES * 9 / 10, "refused after " + bytes);
        assertInstanceOf(
                SubmissionOutcome.Accepted.class,
                log.apply(services("shorter", 0, new ResourceValue.Service(""))));
        assertInstanceOf(
                SubmissionOutcome.Accepted.class,
                log.apply(services("fits-now", changes, longValue)));
    }

    private static Submission services(String id, int change, ResourceValue value) {
        Submissions services = Submissions.of(id);
        for (int i = 0; i < 230; i++) {
            services.put(ResourceKind.SERVICE, change + "-" + i, value);
        }
        return services.build();
    }

    @Test
    void theSameIdGetsTheSameAnswerAndNoSecondChange() {
        assertEquals(1, accepted(Submissions.of("a").tenant("gold", 1)));
        assertEquals(2, accepted(Submissions.of("b").tenant("gold", 2)));
        assertEquals(1, accepted(Submissions.of("a").tenant("gold", 1)));
        assertEquals(2, log.position().version());
        List<FieldError> faults = refused(Submissions.of("c").server("s-1", "checkout"));
        accepted(Submissions.of("d").service("checkout"));
        assertEquals(faults, refused(Submissions.of("c").server("s-1", "checkout")));
    }

    @Test
    void theIdsOfAcceptedSubmissionsAreForgottenAfterABound() {
        accepted(Submissions.of("first").tenant("gold", 1));
        for (int i = 0; i < IdempotencyCache.MAX_ACCEPTED; i++) {
            accepted(Submissions.of("id-" + i).tenant("gold", i));
        }
        assertEquals(2, accepted(Submissions.of("id-0").tenant("gold", 0)));
        assertEquals(
                IdempotencyCache.MAX_ACCEPTED + 2,
                accepted(Submissions.of("first").tenant("gold", 1)));
    }

    @Test
    void badSubmissionsDoNotHaveAcceptedOnesForgotten() {
        accepted(Submissions.of("good").tenant("gold", 1));
        for (int i = 0; i < IdempotencyCache.MAX_ACCEPTED + 1; i++) {
            refused(Submissions.of("bad-" + i).server("s-1", "none"));
        }
        assertEquals(1, accepted(Submissions.of("good").tenant("gold", 1)));
        assertEquals(1, log.position().version());
    }

    @Test
    void aSubscriberHearsOfItsServicesAlone() {
        accepted(Submissions.of("a").service("checkout").service("search"));
        accepted(Submissions.of("b").server("s-1", "checkout").server("s-2", "search"));
        accepted(Submissions.of("c").server("s-3", "search"));
        accepted(Submissions.of("d").delete(ResourceKind.SERVER, "s-2"));
        accepted(Submissions.of("e").settings("other", 10));
        ChangePage page = changesAfter(1, new Subscription(Set.of("checkout"), "default"));
        assertEquals(List.of(2L), versions(page));
        assertEquals(
                List.of("s-1"),
                page.changes().get(0).puts().stream().map(put -> put.key().name()).toList());
        assertEquals(5, page.upTo().version());
        page = changesAfter(1, new Subscription(Set.of("search"), "other"));
        assertEquals(List.of(2L, 3L, 4L, 5L), versions(page));
        assertEquals("search", page.changes().get(2).deletes().get(0).service());
    }

    @Test
    void aChangeThatIsFollowedWholeIsNotCopied() {
        accepted(Submissions.of("a").tenant("gold", 1));
        StoredChange change = log.capture().changes().get(0);
        assertTrue(change == change.followedBy(EVERYTHING));
    }

    @Test
    void aPageEndsBeforeTheChangeThatIsTooMuch() {
        for (int i = 1; i <= 10; i++) {
            accepted(Submissions.of("id-" + i).tenant("t-" + i, i));
        }
        LogPosition at = new LogPosition(LOG, 0);
        List<Long> seen = new ArrayList<>();
        int pages = 0;
        while (at.version() < 10) {
            PollResponse answer = log.changesAfter(at, EVERYTHING, 600);
            EncodedChanges page = assertInstanceOf(PollResponse.Changes.class, answer).page();
            assertTrue(page.json().length <= 600, "bytes: " + page.json().length);
            seen.addAll(versions(page.page()));
            assertTrue(page.upTo().version() > at.version(), "no progress from " + at);
            at = page.upTo();
            pages++;
        }
        assertEquals(List.of(1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L, 9L, 10L), seen);
        assertTrue(pages > 2 && pages < 10, "pages: " + pages);
    }

    @Test
    void aPageHasOneChangeAtLeast() {
        accepted(Submissions.of("a").tenant("gold", 1));
        accepted(Submissions.of("b").tenant("gold", 2));
        PollResponse answer = log.changesAfter(new LogPosition(LOG, 0), EVERYTHING, 1);
        assertEquals(
                List.of(1L),
                versions(assertInstanceOf(PollResponse.Changes.class, answer).page().page()));
    }

    @Test
    void changesThatAreNotKeptAreTooOld() {
        ChangeLog small = new ChangeLog(LOG, new LogRetention(3, 1 << 20));
        for (int i = 1; i <= 10; i++) {
            small.apply(Submissions.of("id-" + i).tenant("t", i).build());
        }
        LogPosition newest = new LogPosition(LOG, 10);
        assertEquals(
                new PollResponse.VersionTooOld(newest, 8),
                small.changesAfter(new LogPosition(LOG, 6), EVERYTHING, ALL_BYTES));
        assertInstanceOf(
                PollResponse.Changes.class,
                small.changesAfter(new LogPosition(LOG, 7), EVERYTHING, ALL_BYTES));
        assertEquals(
                new PollResponse.VersionTooOld(newest, 8),
                small.changesAfter(new LogPosition("other", 9), EVERYTHING, ALL_BYTES));
        assertEquals(
                new PollResponse.Ahead(newest),
                small.changesAfter(new LogPosition(LOG, 11), EVERYTHING, ALL_BYTES));
    }

    @Test
    void keptChangesAreBoundedByBytes() {
        ChangeLog small = new ChangeLog(LOG, new LogRetention(1_000, 2_000));
        for (int i = 1; i <= 100; i++) {
            small.apply(Submissions.of("id-" + i).tenant("t", i).build());
        }
        long kept = 100 - small.oldest() + 1;
        assertTrue(kept >= 5 && kept <= 20, "kept: " + kept);
        StoredChange change = small.capture().changes().get(0);
        assertTrue(
                kept * JsonPageBuilder.sizeOf(change) <= 2_100,
                "bytes: " + kept * JsonPageBuilder.sizeOf(change));
    }

    @Test
    void theJsonIsThatOfTheCodec() throws ProtocolException {
        accepted(
                Submissions.of("a")
                        .service("checkout")
                        .server("s-1", "checkout")
                        .route("r:1", "checkout")
                        .tenant("a/b.c_d", 1.5)
                        .settings("default", 20));
        accepted(Submissions.of("b").delete(ResourceKind.SERVER, "s-1").service("checkout"));
        PollResponse answer = log.changesAfter(new LogPosition(LOG, 0), EVERYTHING, ALL_BYTES);
        EncodedChanges changes = assertInstanceOf(PollResponse.Changes.class, answer).page();
        assertEquals(
                new String(ResourceCodec.write(changes.page()), UTF_8),
                new String(changes.json(), UTF_8));
        assertEquals(changes.page(), ResourceCodec.readChanges(changes.json()));
        EncodedSnapshot last = log.snapshot(Optional.empty(), EVERYTHING, ALL_BYTES);
        assertEquals(
                new String(ResourceCodec.write(last.page()), UTF_8),
                new String(last.json(), UTF_8));
        EncodedSnapshot first = log.snapshot(Optional.empty(), EVERYTHING, 200);
        assertTrue(first.next().isPresent());
        assertEquals(
                new String(ResourceCodec.write(first.page()), UTF_8),
                new String(first.json(), UTF_8));
        assertEquals(first.page(), ResourceCodec.readSnapshot(first.json()));
    }

    @Test
    void theSizesThatBoundPagesAreNoLessThanTheBytes() {
        accepted(Submissions.of("a").service("checkout").server("s".repeat(128), "checkout"));
        accepted(Submissions.of("b").delete(ResourceKind.SERVER, "s".repeat(128)));
        for (StoredChange change : log.capture().changes()) {
            int bytes = new EncodedChanges(log.position(), List.of(change)).json().length;
            int frame = new EncodedChanges(log.position(), List.of()).json().length;
            assertTrue(
                    JsonPageBuilder.sizeOf(change) >= bytes - frame,
                    change.version() + ": " + bytes);
        }
    }

    @Test
    void snapshotPagesAreInOrderAndBounded() {
        Submissions state = Submissions.of("a").service("checkout").service("search");
        for (int i = 0; i < 50; i++) {
            state.server("s-" + i, i % 2 == 0 ? "checkout" : "search").tenant("t-" + i, i);
        }
        accepted(state);
        List<ResourceKey> keys = new ArrayList<>();
        Optional<ResourceKey> from = Optional.empty();
        do {
            EncodedSnapshot page =
                    log.snapshot(from, new Subscription(Set.of("search"), "default"), 1_000);
            assertTrue(page.json().length <= 1_000 + 2 * JsonPageBuilder.FRAME_OVERHEAD);
            assertFalse(page.page().resources().isEmpty());
            keys.addAll(page.page().resources().stream().map(Resource::key).toList());
            from = page.next();
        } while (from.isPresent());
        assertEquals(1 + 25 + 50, keys.size());
        assertEquals(keys.stream().sorted().distinct().toList(), keys);
    }

    @Test
    void anImageThatIsCutOrChangedIsRefused() {
        accepted(Submissions.of("a").service("checkout").server("s-1", "checkout"));
        accepted(Submissions.of("b").delete(ResourceKind.SERVER, "s-1"));
        refused(Submissions.of("c").server("s-1", "none"));
        byte[] snapshotBytes = log.snapshotBytes();
        for (int length = 0; length < snapshotBytes.length; length++) {
            byte[] cut = Arrays.copyOf(snapshotBytes, length);
            assertThrows(
                    ProtocolException.class, () -> ChangeLog.restore(cut, LogRetention.DEFAULT));
        }
        byte[] longer = Arrays.copyOf(snapshotBytes, snapshotBytes.length + 1);
        assertThrows(
                ProtocolException.class, () -> ChangeLog.restore(longer, LogRetention.DEFAULT));
        byte[] later = snapshotBytes.clone();
        later[3]++;
        assertThrows(ProtocolException.class, () -> ChangeLog.restore(later, LogRetention.DEFAULT));
    }
}
