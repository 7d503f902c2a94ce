// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.report;

import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;

/** A table row: the results of one measurement, in one unit, by size. */
public record Row(String label, String unit, SortedMap<Integer, Cell> cells) {

    /** Creates an empty row. */
    public static Row of(String label, String unit) {
        return new Row(label, unit, new TreeMap<>());
    }

    /** Sets the result at a size. */
    public void put(int size, Cell cell) {
        cells.put(size, cell);
    }

    /** Fits a line to the medians at sizes up to {@code maxSize}, if at least two were measured. */
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
