// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.statistics;

import java.util.Arrays;

/**
 * The distribution of values: their number, median, 99th percentile and maximum. All are 0 if there
 * are no values.
 */
public record Distribution(long count, long median, long p99, long maximum) {

    public static final Distribution NONE = new Distribution(0, 0, 0, 0);

    private static final double MEDIAN = 0.5;
    private static final double P99 = 0.99;

    /** Returns the distribution of these values. Sorts the array in place. */
    public static Distribution of(long[] values) {
        if (values.length == 0) {
            return NONE;
        }
        Arrays.sort(values);
        return new Distribution(
                values.length, at(values, MEDIAN), at(values, P99), values[values.length - 1]);
    }

    // Returns the smallest value such that at least this fraction of all values are less than or
    // equal to it.
    private static long at(long[] sorted, double fraction) {
        return sorted[Math.max(0, (int) Math.ceil(fraction * sorted.length) - 1)];
    }
}
