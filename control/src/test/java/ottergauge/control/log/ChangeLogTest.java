// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import ottergauge.resources.LogPosition;

/** Tests applying submissions. */
class ChangeLogTest extends ChangeLogFixture {

    @Test
    void version_countsAcceptedChangesOnly() {
        assertEquals(1, accepted(SubmissionBuilder.of("a").service("checkout")));
        rejected(SubmissionBuilder.of("b").server("s-1", "search"));
        assertEquals(2, accepted(SubmissionBuilder.of("c").server("s-1", "checkout")));
        assertEquals(new LogPosition(LOG, 2), log.position());
    }
}
