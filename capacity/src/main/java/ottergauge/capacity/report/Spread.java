// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.report;

import java.util.Arrays;

/** Summary statistics of repeated measurements of one quantity. */
public record Spread(double median, double minimum, double maximum, int count) {

    /** Summarizes at least one value. */
    public static Spread of(double... values) {
        if (values.length == 0) {
            throw new IllegalArgumentException("a spread needs at least one value");
        }
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        double median =
                sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
        return new Spread(median, sorted[0], sorted[sorted.length - 1], sorted.length);
    }
}
