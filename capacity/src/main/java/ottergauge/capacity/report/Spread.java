// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.report;

import java.util.Arrays;

/** Values of one thing that was measured several times. */
public record Spread(double median, double minimum, double maximum, int count) {

    /** The spread of these values, of which there is at least one. */
    public static Spread of(double... values) {
        if (values.length == 0) {
            throw new IllegalArgumentException("no values");
        }
        double[] sorted = values.clone();
        Arrays.sort(sorted);
        int middle = sorted.length / 2;
        double median =
                sorted.length % 2 == 1 ? sorted[middle] : (sorted[middle - 1] + sorted[middle]) / 2;
        return new Spread(median, sorted[0], sorted[sorted.length - 1], sorted.length);
    }
}
