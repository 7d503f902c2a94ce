// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.statistics;

import java.util.Arrays;

/**
 * Rows of integers in the order in which they were added. They are stored compactly, since a scale
 * test has millions of them.
 */
final class LongTable {

    private static final int FIRST_ROWS = 16;

    private final int width;
    private long[] values;
    private int rows;

    LongTable(int width) {
        this.width = width;
        values = new long[FIRST_ROWS * width];
    }

    void add(long... row) {
        if (row.length != width) {
            throw new IllegalArgumentException("a row has " + width + " values, not " + row.length);
        }
        if (rows * width == values.length) {
            values = Arrays.copyOf(values, values.length * 2);
        }
        System.arraycopy(row, 0, values, rows * width, width);
        rows++;
    }

    int rows() {
        return rows;
    }

    long get(int row, int column) {
        return values[row * width + column];
    }
}
