// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.index;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/** Names keep what belongs to their rows for as long as they stay, wherever the rows stand. */
class ClassIndexTest {

    private static final int MOST_OWN = 5;
    private static final String SHARED = "shared";

    @Provide
    Arbitrary<List<List<String>>> renamings() {
        return Arbitraries.of("a", "b", "c", "d", "e", "f", "g", "h", "i")
                .list()
                .ofMaxSize(12)
                .list()
                .ofMaxSize(20);
    }

    @Property(tries = 500, seed = "91")
    void whatBelongsToANameStaysWithIt(@ForAll("renamings") List<List<String>> renamings) {
        ClassIndex table = new ClassIndex(MOST_OWN);
        // What belongs to a row: whose it is, and a number that no other one had.
        List<String> belongs = table.remap(List.of(), () -> SHARED);
        Map<String, String> owned = new HashMap<>();
        int[] made = {0};
        for (List<String> names : renamings) {
            table.rename(names);
            belongs = table.remap(belongs, () -> "fresh " + made[0]++);
            assertEquals(SHARED, belongs.get(table.shared()));
            Set<String> distinct = new LinkedHashSet<>(names);
            owned.keySet().retainAll(distinct);
            for (String name : distinct) {
                int row = table.of(name);
                if (row != table.shared()) {
                    assertEquals(
                            owned.getOrDefault(name, belongs.get(row)), belongs.get(row), name);
                    owned.put(name, belongs.get(row));
                } else {
                    assertTrue(!owned.containsKey(name), name + " has lost its row");
                }
            }
            assertEquals(Math.min(MOST_OWN, distinct.size()), owned.size(), "rows of their own");
            assertEquals(
                    owned.size(), new HashSet<>(owned.values()).size(), "one row for two names");
            assertEquals(owned.size() + 1, belongs.size());
        }
    }

    @Test
    void theFirstNamesHaveRowsAndAnUnknownOneSharesTheLast() {
        ClassIndex table = new ClassIndex(2);
        table.rename(List.of("a", "b", "c"));
        assertEquals(
                List.of(0, 1, 2, 2),
                List.of(table.of("a"), table.of("b"), table.of("c"), table.of("unknown")));
        table.rename(List.of("c", "d", "b"));
        assertEquals(List.of(0, 2, 1), List.of(table.of("c"), table.of("d"), table.of("b")));
    }
}
