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
 * Numbers the rows of a table: one for each name, as far as there are any, and a last one that all
 * names without a row of their own share. When the names change, a name that stays keeps its row,
 * though its number may be another one; what is kept by row elsewhere is then laid out anew with
 * {@link #remap}.
 */
public final class ClassIndex {

    private static final int NEW = -1;

    private final int mostOwn;
    private final Map<String, Integer> own = new HashMap<>();

    /** For each row the number that it had before the names changed last. */
    private final List<Integer> before = new ArrayList<>(List.of(NEW));

    /** A table with no names, which will have so many rows of their own at the most. */
    public ClassIndex(int mostOwn) {
        this.mostOwn = mostOwn;
    }

    /** Takes names in place of those there were; the first new ones get rows before the others. */
    public void rename(Collection<String> names) {
        int sharedBefore = shared();
        Set<String> distinct = new LinkedHashSet<>(names);
        Map<String, Integer> ownBefore = new HashMap<>(own);
        ownBefore.keySet().retainAll(distinct);
        int free = mostOwn - ownBefore.size();
        own.clear();
        before.clear();
        for (String name : distinct) {
            boolean stays = ownBefore.containsKey(name);
            if (stays || free > 0) {
                free -= stays ? 0 : 1;
                own.put(name, before.size());
                before.add(stays ? ownBefore.get(name) : NEW);
            }
        }
        before.add(sharedBefore);
    }

    /** The row of a name: its own, or the shared one. */
    public int of(String name) {
        return own.getOrDefault(name, shared());
    }

    /** The row that names share which have none of their own. */
    public int shared() {
        return before.size() - 1;
    }

    /**
     * What belongs to the rows, by row: what belonged to a row before the names changed last, or
     * something new where there was none. Nothing at all before makes all of it new.
     */
    public <T> List<T> remap(List<T> belonged, Supplier<T> fresh) {
        List<T> belongs = new ArrayList<>(before.size());
        for (int number : before) {
            belongs.add(number == NEW || belonged.isEmpty() ? fresh.get() : belonged.get(number));
        }
        return belongs;
    }
}
