// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Tests the exact JSON of errors. */
class ErrorJsonTest {

    @Test
    void errorCodes_keepTheirNames() {
        assertEquals(
                List.of("no_quorum", "behind", "starting", "stopping", "busy"),
                List.of(
                        ErrorJson.NO_QUORUM,
                        ErrorJson.BEHIND,
                        ErrorJson.STARTING,
                        ErrorJson.STOPPING,
                        ErrorJson.BUSY));
    }

    @Test
    void error_isOneFieldWithQuotesEscaped() {
        assertEquals("{\"error\":\"no \\\"x\\\"\"}", new String(ErrorJson.of("no \"x\""), UTF_8));
    }
}
