// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.report;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import org.junit.jupiter.api.Test;

class LinearFitTest {

    @Property(seed = "20260101")
    void pointsOnALineGiveThatLine(
            @ForAll @DoubleRange(min = -1e6, max = 1e6) double intercept,
            @ForAll @DoubleRange(min = -1e3, max = 1e3) double slope) {
        double[] sizes = {100, 1_000, 4_000, 8_000};
        double[] values = new double[sizes.length];
        for (int i = 0; i < sizes.length; i++) {
            values[i] = intercept + slope * sizes[i];
        }
        LinearFit fit = LinearFit.of(sizes, values);
        assertEquals(intercept, fit.intercept(), 1e-5);
        assertEquals(slope, fit.slope(), 1e-8);
    }

    @Test
    void pointsOffALineAreFittedByLeastSquares() {
        // Calculated by hand: means 2 and 3; products 4, squares of sizes 2, squares of values 14.
        LinearFit fit = LinearFit.of(new double[] {1, 2, 3}, new double[] {2, 1, 6});
        assertEquals(2, fit.slope(), 1e-12);
        assertEquals(-1, fit.intercept(), 1e-12);
        assertEquals(8.0 / 14, fit.rSquared(), 1e-12);
        assertEquals(1, fit.minSize());
        assertEquals(3, fit.maxSize());
    }

    @Test
    void onePointOrOneSizeCannotBeFitted() {
        assertThrows(
                IllegalArgumentException.class,
                () -> LinearFit.of(new double[] {1}, new double[] {1}));
        assertThrows(
                IllegalArgumentException.class,
                () -> LinearFit.of(new double[] {5, 5}, new double[] {1, 2}));
    }
}
