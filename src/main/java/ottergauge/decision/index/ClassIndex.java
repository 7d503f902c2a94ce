// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.index;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Assigns rows of a table to class names. Each name gets a row of its own, up to a maximum number
 * of rows. All other names share the last row. When the names change, a name that remains keeps its
 * row, although the number of the row may change. Data that is stored by row elsewhere must then be
 * rearranged by {@link #remap}.
 */
public final class ClassIndex {

    private static final int NEW = -1;

    private final int maxOwnRows;
    private final Map<String, Integer> ownRows = new HashMap<>();

    /** The number that each row had before the last change of the names. */
    private final List<Integer> previousRows = new ArrayList<>(List.of(NEW));

    /** Creates an index without names that assigns individual rows to at most this many names. */
    public ClassIndex(int maxOwnRows) {
        this.maxOwnRows = maxOwnRows;
    }

    /** Replaces the names. If there are too few rows, the first of the new names get them. */
    public void rename(Collection<String> names) {
        int previousShared = shared();
        Set<String> distinct = new LinkedHashSet<>(names);
        Map<String, Integer> kept = new HashMap<>(ownRows);
        kept.keySet().retainAll(distinct);
        int free = maxOwnRows - kept.size();
        ownRows.clear();
        previousRows.clear();
        for (String name : distinct) {
            Integer previous = kept.get(name);
            if (previous != null) {
                assign(name, previous);
            } else if (free > 0) {
                free--;
                assign(name, NEW);
            }
        }
        previousRows.add(previousShared);
    }

    private void assign(String name, int previous) {
        ownRows.put(name, previousRows.size());
        previousRows.add(previous);
    }

    /** Returns the row of a name: its own row or the shared one. */
    public int of(String name) {
        return ownRows.getOrDefault(name, shared());
    }

    /** Returns the row shared by all names without a row of their own. */
    public int shared() {
        return previousRows.size() - 1;
    }

    /**
     * Rearranges values that belong to rows to match the current row numbers.
     *
     * @param previous the value of each row before the last change of the names, or an empty list
     *     to create new values for all rows
     * @param newValue creates the value of a new row
     */
    public <T> List<T> remap(List<T> previous, Supplier<T> newValue) {
        List<T> remapped = new ArrayList<>(previousRows.size());
        for (int row : previousRows) {
            remapped.add(row == NEW || previous.isEmpty() ? newValue.get() : previous.get(row));
        }
        return remapped;
    }
}
