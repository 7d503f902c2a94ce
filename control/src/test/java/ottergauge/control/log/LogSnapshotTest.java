// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.log;

import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.ResourceKind;

/** Tests the stored form of a log. */
class LogSnapshotTest extends ChangeLogFixture {

    @Test
    void truncatedOrChangedLogSnapshot_isRejected() {
        accepted(SubmissionBuilder.of("a").service("checkout").server("s-1", "checkout"));
        accepted(SubmissionBuilder.of("b").delete(ResourceKind.SERVER, "s-1"));
        rejected(SubmissionBuilder.of("c").server("s-1", "none"));
        byte[] stored = log.capture().encode();
        for (int length = 0; length < stored.length; length++) {
            byte[] truncated = Arrays.copyOf(stored, length);
            assertThrows(
                    ProtocolException.class,
                    () -> ChangeLog.restore(truncated, LogRetention.DEFAULT));
        }
        byte[] longer = Arrays.copyOf(stored, stored.length + 1);
        assertThrows(
                ProtocolException.class, () -> ChangeLog.restore(longer, LogRetention.DEFAULT));
        byte[] laterFormat = stored.clone();
        laterFormat[3]++;
        assertThrows(
                ProtocolException.class,
                () -> ChangeLog.restore(laterFormat, LogRetention.DEFAULT));
    }
}
