// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/** Tests the limit of warnings per second. */
class RateLimitedLoggerTest {

    @Test
    void moreThanTwentyLinesASecond_areSuppressedAndCounted() {
        List<String> written = new ArrayList<>();
        AtomicLong nowMs = new AtomicLong(5_000);
        RateLimitedLogger log = new RateLimitedLogger(written::add, nowMs::get);
        for (int i = 0; i < 100; i++) {
            log.warn("line " + i);
        }
        assertEquals(20, written.size());
        nowMs.set(6_000);
        log.warn("next");
        assertEquals(
                List.of("80 log lines suppressed by the rate limit", "next"),
                written.subList(20, 22));
        log.warn("after");
        assertEquals(23, written.size());
    }
}
