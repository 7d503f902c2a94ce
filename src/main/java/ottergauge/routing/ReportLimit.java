// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.OptionalInt;

/** Limits how many log lines of one kind are written each second, and counts the others. */
final class ReportLimit {

    private static final int MAX_REPORTS_PER_SECOND = 5;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private long windowStart;
    private int reportsInWindow;
    private int suppressed;

    /**
     * Asks for one more line.
     *
     * @return empty if it is to be suppressed, else how many were suppressed before it
     */
    OptionalInt admit(long now) {
        if (now - windowStart >= MICROS_PER_SECOND) {
            windowStart = now;
            reportsInWindow = 0;
        }
        if (reportsInWindow++ >= MAX_REPORTS_PER_SECOND) {
            suppressed++;
            return OptionalInt.empty();
        }
        int before = suppressed;
        suppressed = 0;
        return OptionalInt.of(before);
    }
}
