// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Writes so many warnings a second at the most, so that a caller can't fill a disk with them. */
final class RateLimitedLogger {

    private static final int MAX_LINES_PER_SECOND = 20;
    private static final long SECOND_MS = 1_000;

    private final Consumer<String> lines;
    private final LongSupplier clockMs;
    private long second;
    private int written;
    private long left;

    RateLimitedLogger(Consumer<String> lines, LongSupplier clockMs) {
        this.lines = lines;
        this.clockMs = clockMs;
    }

    void warn(String line) {
        long now = clockMs.getAsLong() / SECOND_MS;
        if (now != second) {
            second = now;
            written = 0;
        }
        if (written == MAX_LINES_PER_SECOND) {
            left++;
            return;
        }
        written++;
        if (left > 0) {
            lines.accept(left + " lines were left out");
            left = 0;
        }
        lines.accept(line);
    }
}
