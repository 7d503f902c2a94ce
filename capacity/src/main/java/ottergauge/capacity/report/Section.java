// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.report;

import java.util.List;

/**
 * A table of the page: rows measured at the same sizes, and notes that explain them. Lines are
 * fitted over the sizes up to {@code fitUpTo}.
 */
public record Section(
        String title,
        List<String> notes,
        String sizeName,
        List<Integer> sizes,
        int fitUpTo,
        List<Row> rows) {}
