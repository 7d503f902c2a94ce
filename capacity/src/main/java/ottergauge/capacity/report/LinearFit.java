// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.report;

import java.util.Arrays;

/**
 * A least-squares line over the sizes from {@code minSize} to {@code maxSize}. {@code rSquared} is
 * the coefficient of determination: the fraction of the variance that the line explains.
 */
public record LinearFit(
        double intercept, double slope, double minSize, double maxSize, double rSquared) {

    /** Fits a line to at least two points with different sizes. */
    public static LinearFit of(double[] sizes, double[] values) {
        if (sizes.length != values.length || sizes.length < 2) {
            throw new IllegalArgumentException(
                    sizes.length
                            + " sizes and "
                            + values.length
                            + " values; expected equal counts of at least 2");
        }
        double meanSize = Arrays.stream(sizes).average().orElseThrow();
        double meanValue = Arrays.stream(values).average().orElseThrow();
        double sizeSquares = 0;
        double products = 0;
        double valueSquares = 0;
        for (int i = 0; i < sizes.length; i++) {
            sizeSquares += (sizes[i] - meanSize) * (sizes[i] - meanSize);
            products += (sizes[i] - meanSize) * (values[i] - meanValue);
            valueSquares += (values[i] - meanValue) * (values[i] - meanValue);
        }
        if (sizeSquares == 0) {
            throw new IllegalArgumentException(
                    "a fit needs different sizes, but all sizes are " + meanSize);
        }
        double slope = products / sizeSquares;
        double rSquared = valueSquares == 0 ? 1 : slope * products / valueSquares;
        return new LinearFit(
                meanValue - slope * meanSize,
                slope,
                Arrays.stream(sizes).min().orElseThrow(),
                Arrays.stream(sizes).max().orElseThrow(),
                rSquared);
    }
}
