// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ottergauge.resources.ChangePage;
import ottergauge.resources.LogPosition;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.Subscription;

/** Tests the responses to subscribers that poll for changes. */
class ChangePollTest extends ChangeLogFixture {

    @Test
    void poll_returnsOnlySubscribedServices() {
        accepted(SubmissionBuilder.of("a").service("checkout").service("search"));
        accepted(SubmissionBuilder.of("b").server("s-1", "checkout").server("s-2", "search"));
        accepted(SubmissionBuilder.of("c").server("s-3", "search"));
        accepted(SubmissionBuilder.of("d").delete(ResourceKind.SERVER, "s-2"));
        accepted(SubmissionBuilder.of("e").settings("other", 10));
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
    void fullyMatchingChange_isNotCopied() {
        accepted(SubmissionBuilder.of("a").tenant("gold", 1));
        StoredChange change = log.capture().changes().get(0);
        assertSame(change, change.filteredBy(EVERYTHING));
    }

    @Test
    void pageOfChanges_staysWithinMaxBytes() {
        for (int i = 1; i <= 10; i++) {
            accepted(SubmissionBuilder.of("id-" + i).tenant("t-" + i, i));
        }
        LogPosition at = new LogPosition(LOG, 0);
        List<Long> receivedVersions = new ArrayList<>();
        int pages = 0;
        while (at.version() < 10) {
            PollResponse response = log.changesAfter(at, EVERYTHING, 600);
            EncodedChanges page = assertInstanceOf(PollResponse.Changes.class, response).page();
            assertTrue(page.json().length <= 600, "bytes: " + page.json().length);
            receivedVersions.addAll(versions(page.page()));
            assertTrue(page.upTo().version() > at.version(), "no progress from " + at);
            at = page.upTo();
            pages++;
        }
        assertEquals(List.of(1L, 2L, 3L, 4L, 5L, 6L, 7L, 8L, 9L, 10L), receivedVersions);
        assertTrue(pages > 2 && pages < 10, "pages: " + pages);
    }

    @Test
    void pageOfChanges_hasAtLeastOneChange() {
        accepted(SubmissionBuilder.of("a").tenant("gold", 1));
        accepted(SubmissionBuilder.of("b").tenant("gold", 2));
        PollResponse response = log.changesAfter(new LogPosition(LOG, 0), EVERYTHING, 1);
        assertEquals(
                List.of(1L),
                versions(assertInstanceOf(PollResponse.Changes.class, response).page().page()));
    }

    @Test
    void pollBeforeOldestRetainedChange_isTooOld() {
        ChangeLog shortLog = new ChangeLog(LOG, new LogRetention(3, 1 << 20));
        for (int i = 1; i <= 10; i++) {
            shortLog.apply(SubmissionBuilder.of("id-" + i).tenant("t", i).build());
        }
        LogPosition newest = new LogPosition(LOG, 10);
        assertEquals(
                new PollResponse.VersionUnavailable(newest, 8),
                shortLog.changesAfter(new LogPosition(LOG, 6), EVERYTHING, ALL_BYTES));
        assertInstanceOf(
                PollResponse.Changes.class,
                shortLog.changesAfter(new LogPosition(LOG, 7), EVERYTHING, ALL_BYTES));
        assertEquals(
                new PollResponse.VersionUnavailable(newest, 8),
                shortLog.changesAfter(new LogPosition("other", 9), EVERYTHING, ALL_BYTES));
        assertEquals(
                new PollResponse.Ahead(newest),
                shortLog.changesAfter(new LogPosition(LOG, 11), EVERYTHING, ALL_BYTES));
    }

    @Test
    void retainedChanges_areLimitedInBytes() {
        ChangeLog shortLog = new ChangeLog(LOG, new LogRetention(1_000, 2_000));
        for (int i = 1; i <= 100; i++) {
            shortLog.apply(SubmissionBuilder.of("id-" + i).tenant("t", i).build());
        }
        long retained = 100 - shortLog.oldest() + 1;
        assertTrue(retained >= 5 && retained <= 20, "retained: " + retained);
        StoredChange change = shortLog.capture().changes().get(0);
        assertTrue(
                retained * JsonPageBuilder.sizeOf(change) <= 2_100,
                "bytes: " + retained * JsonPageBuilder.sizeOf(change));
    }
}
