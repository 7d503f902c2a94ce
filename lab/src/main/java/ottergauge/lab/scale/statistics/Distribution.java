// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.statistics;

import java.util.Arrays;

/**
 * How values spread: their number, median, 99th percentile and largest. All are 0 if there are
 * none.
 */
public record Distribution(long count, long median, long p99, long most) {

    public static final Distribution NONE = new Distribution(0, 0, 0, 0);

    private static final double MEDIAN = 0.5;
    private static final double P99 = 0.99;

    /** Of these values, which are sorted by this. */
    public static Distribution of(long[] values) {
        if (values.length == 0) {
            return NONE;
        }
        Arrays.sort(values);
        return new Distribution(
                values.length, at(values, MEDIAN), at(values, P99), values[values.length - 1]);
    }

    // The smallest value that so large a part of all is not over.
    private static long at(long[] sorted, double part) {
        return sorted[Math.max(0, (int) Math.ceil(part * sorted.length) - 1)];
    }
}
