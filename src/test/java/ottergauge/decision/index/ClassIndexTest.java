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

/** Names keep the values of their rows as long as they remain, even if the row numbers change. */
class ClassIndexTest {

    private static final int MAX_OWN_ROWS = 5;
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
    void aNameKeepsTheValueOfItsRow(@ForAll("renamings") List<List<String>> renamings) {
        ClassIndex index = new ClassIndex(MAX_OWN_ROWS);
        // The value of each row is a unique string.
        List<String> rowValues = index.remap(List.of(), () -> SHARED);
        Map<String, String> valueByName = new HashMap<>();
        int[] created = {0};
        for (List<String> names : renamings) {
            index.rename(names);
            rowValues = index.remap(rowValues, () -> "fresh " + created[0]++);
            assertEquals(SHARED, rowValues.get(index.shared()));
            Set<String> distinct = new LinkedHashSet<>(names);
            valueByName.keySet().retainAll(distinct);
            for (String name : distinct) {
                int row = index.of(name);
                if (row != index.shared()) {
                    assertEquals(
                            valueByName.getOrDefault(name, rowValues.get(row)),
                            rowValues.get(row),
                            name);
                    valueByName.put(name, rowValues.get(row));
                } else {
                    assertTrue(!valueByName.containsKey(name), name + " has lost its row");
                }
            }
            assertEquals(
                    Math.min(MAX_OWN_ROWS, distinct.size()),
                    valueByName.size(),
                    "rows of their own");
            assertEquals(
                    valueByName.size(),
                    new HashSet<>(valueByName.values()).size(),
                    "one row for two names");
            assertEquals(valueByName.size() + 1, rowValues.size());
        }
    }

    @Test
    void theFirstNamesGetRowsAndUnknownNamesShareTheLast() {
        ClassIndex index = new ClassIndex(2);
        index.rename(List.of("a", "b", "c"));
        assertEquals(
                List.of(0, 1, 2, 2),
                List.of(index.of("a"), index.of("b"), index.of("c"), index.of("unknown")));
        index.rename(List.of("c", "d", "b"));
        assertEquals(List.of(0, 2, 1), List.of(index.of("c"), index.of("d"), index.of("b")));
    }
}
