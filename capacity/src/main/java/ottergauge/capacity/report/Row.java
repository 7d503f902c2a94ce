// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.report;

import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/** One thing that is measured, in one unit, by size. */
public record Row(String label, String unit, SortedMap<Integer, Cell> cells) {

    /** A row without cells yet. */
    public static Row of(String label, String unit) {
        return new Row(label, unit, new TreeMap<>());
    }

    /** Notes what was measured at a size. */
    public void put(int size, Cell cell) {
        cells.put(size, cell);
    }

    /** The line through the medians at sizes up to one, if two at least were measured. */
    public Optional<LinearFit> fit(int maxSize) {
        SortedMap<Integer, Cell> fitted = cells.headMap(maxSize + 1);
        double[] sizes =
                fitted.entrySet().stream()
                        .filter(each -> each.getValue() instanceof Cell.Measured)
                        .mapToDouble(Map.Entry::getKey)
                        .toArray();
        double[] medians =
                fitted.values().stream()
                        .filter(Cell.Measured.class::isInstance)
                        .map(Cell.Measured.class::cast)
                        .mapToDouble(each -> each.spread().median())
                        .toArray();
        return sizes.length < 2 ? Optional.empty() : Optional.of(LinearFit.of(sizes, medians));
    }
}
