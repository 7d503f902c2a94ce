// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

import java.util.List;
import java.util.Set;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.FieldError;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Subscription;

/** A change log, with helper methods and assertions for its tests. */
abstract class ChangeLogFixture {

    static final String LOG = "9f3c";
    static final int ALL_BYTES = 1 << 19;
    static final Subscription EVERYTHING = new Subscription(Set.of(), "default");

    final ChangeLog log = new ChangeLog(LOG, LogRetention.DEFAULT);

    long accepted(SubmissionBuilder submission) {
        SubmissionOutcome outcome = log.apply(submission.build());
        return assertInstanceOf(SubmissionOutcome.Accepted.class, outcome, outcome::toString)
                .position()
                .version();
    }

    List<FieldError> rejected(SubmissionBuilder submission) {
        LogPosition before = log.position();
        SubmissionOutcome outcome = log.apply(submission.build());
        assertEquals(before, log.position(), "a rejected submission changed the log");
        return assertInstanceOf(SubmissionOutcome.Rejected.class, outcome).errors();
    }

    static void assertError(String key, String value, String allowed, List<FieldError> errors) {
        assertEquals(List.of(new FieldError(key, value, allowed)), errors);
    }

    ChangePage changesAfter(long version, Subscription subscription) {
        PollResponse response =
                log.changesAfter(new LogPosition(LOG, version), subscription, ALL_BYTES);
        return assertInstanceOf(PollResponse.Changes.class, response).page().page();
    }

    static List<Long> versions(ChangePage page) {
        return page.changes().stream().map(Change::version).toList();
    }
}
