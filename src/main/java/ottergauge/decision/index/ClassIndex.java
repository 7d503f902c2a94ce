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
 * Assigns rows of a table to class names: one to each name, up to a bound, and a last one that all
 * other names share. When the names change, a name that stays keeps its row, though its number may
 * be another one; what is kept by row elsewhere is then laid out again by {@link #remap}.
 */
public final class ClassIndex {

    private static final int NEW = -1;

    private final int maxOwnRows;
    private final Map<String, Integer> ownRows = new HashMap<>();

    /** The number that each row had before the names changed last. */
    private final List<Integer> previousRows = new ArrayList<>(List.of(NEW));

    /** Creates an index without names, which assigns at most so many rows of their own. */
    public ClassIndex(int maxOwnRows) {
        this.maxOwnRows = maxOwnRows;
    }

    /** Replaces the names; the first new ones are assigned rows before the others. */
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

    /** Returns the row of a name: its own, or the shared one. */
    public int of(String name) {
        return ownRows.getOrDefault(name, shared());
    }

    /** Returns the row that names share which have none of their own. */
    public int shared() {
        return previousRows.size() - 1;
    }

    /**
     * Lays out what belongs to rows by their present numbers.
     *
     * @param previous what belonged to each row before the names changed last; all is new if empty
     * @param fresh creates what belongs to a new row
     */
    public <T> List<T> remap(List<T> previous, Supplier<T> fresh) {
        List<T> remapped = new ArrayList<>(previousRows.size());
        for (int row : previousRows) {
            remapped.add(row == NEW || previous.isEmpty() ? fresh.get() : previous.get(row));
        }
        return remapped;
    }
}
