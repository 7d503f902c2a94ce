// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import ottergauge.resources.FieldError;

/** Tests retries of submissions with the same id. */
class IdempotencyCacheTest extends ChangeLogFixture {

    @Test
    void repeatedId_hasTheSameOutcomeAndNoSecondChange() {
        assertEquals(1, accepted(SubmissionBuilder.of("a").tenant("gold", 1)));
        assertEquals(2, accepted(SubmissionBuilder.of("b").tenant("gold", 2)));
        assertEquals(1, accepted(SubmissionBuilder.of("a").tenant("gold", 1)));
        assertEquals(2, log.position().version());
        List<FieldError> errors = rejected(SubmissionBuilder.of("c").server("s-1", "checkout"));
        accepted(SubmissionBuilder.of("d").service("checkout"));
        assertEquals(errors, rejected(SubmissionBuilder.of("c").server("s-1", "checkout")));
    }

    @Test
    void acceptedIds_areEvictedOldestFirst() {
        accepted(SubmissionBuilder.of("first").tenant("gold", 1));
        for (int i = 0; i < IdempotencyCache.MAX_ACCEPTED; i++) {
            accepted(SubmissionBuilder.of("id-" + i).tenant("gold", i));
        }
        assertEquals(2, accepted(SubmissionBuilder.of("id-0").tenant("gold", 0)));
        assertEquals(
                IdempotencyCache.MAX_ACCEPTED + 2,
                accepted(SubmissionBuilder.of("first").tenant("gold", 1)));
    }

    @Test
    void rejectedSubmissions_doNotEvictAcceptedIds() {
        accepted(SubmissionBuilder.of("good").tenant("gold", 1));
        for (int i = 0; i < IdempotencyCache.MAX_ACCEPTED + 1; i++) {
            rejected(SubmissionBuilder.of("bad-" + i).server("s-1", "none"));
        }
        assertEquals(1, accepted(SubmissionBuilder.of("good").tenant("gold", 1)));
        assertEquals(1, log.position().version());
    }
}
