// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import java.util.function.Consumer;
import java.util.function.LongSupplier;

/** Limits warnings to 20 lines per second, so that a client can't fill the disk with log lines. */
final class RateLimitedLogger {

    private static final int MAX_LINES_PER_SECOND = 20;
    private static final long MILLIS_PER_SECOND = 1_000;

    private final Consumer<String> output;
    private final LongSupplier clockMs;
    private long currentSecond;
    private int linesInSecond;
    private long suppressedLines;

    RateLimitedLogger(Consumer<String> output, LongSupplier clockMs) {
        this.output = output;
        this.clockMs = clockMs;
    }

    void warn(String line) {
        long second = clockMs.getAsLong() / MILLIS_PER_SECOND;
        if (second != currentSecond) {
            currentSecond = second;
            linesInSecond = 0;
        }
        if (linesInSecond == MAX_LINES_PER_SECOND) {
            suppressedLines++;
            return;
        }
        linesInSecond++;
        if (suppressedLines > 0) {
            output.accept(suppressedLines + " log lines suppressed by the rate limit");
            suppressedLines = 0;
        }
        output.accept(line);
    }
}
