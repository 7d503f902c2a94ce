// SPDX-License-Identifier: Apache-2.0
package ottergauge.migration;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import ottergauge.migration.Migration.Leftover;
import ottergauge.migration.Migration.Result;
import ottergauge.settings.JsonTree;

class MigrationTest {

    private static final String SHAPE =
            """
            {"balancers":98,"me":3,"zones":["room"],"zone":"room","registryMode":"pushed","roundMs":5,
             "reporting":{"how":"on_probe","fields":["outstanding"]},"ceilings":{"maxAttempts":3}%s}
            """;

    private static Map<String, Object> json(String text) throws IOException {
        return JsonTree.read(text.getBytes(StandardCharsets.UTF_8));
    }

    private static Map<String, Object> old(String settings) throws IOException {
        return json(
                """
                {"name":"n1","listen":"127.0.0.1:3000","discovery":"127.0.0.1:8500","seed":"1",
                 "settings":{"me":7,"balancers":9,"zones":["a","b"],"zone":"a","registryMode":"on_request",
                  "ceilings":{"maxAttempts":5,"cancel":true},
                  "classes":[{"name":"pay","semantics":"guarded","group":"zone","windowMs":800}]%s}}
                """
                        .formatted(settings));
    }

    private static Result translate(String settings, String shape) throws Exception {
        return Migration.translate(old(settings), json(SHAPE.formatted(shape)));
    }

    private static Map<?, ?> settings(Result result) {
        return (Map<?, ?>) result.config().get("settings");
    }

    private static List<String> keys(Result result) {
        return result.leftovers().stream().map(Leftover::key).toList();
    }

    @Test
    void shapeOverridesSettingsAndTheRestIsKept() throws Exception {
        Map<?, ?> settings = settings(translate(",\"weights\":\"nominal\"", ""));
        assertEquals(98.0, settings.get("balancers"));
        assertEquals(5.0, settings.get("roundMs"));
        assertEquals("nominal", settings.get("weights"));
        assertEquals(Map.of("maxAttempts", 3.0, "cancel", true), settings.get("ceilings"));
    }

    @Test
    void noLeftoversIfTheNewShapeHoldsAllOldValues() throws Exception {
        Map<String, Object> shape = json(SHAPE.formatted(""));
        shape.put("zones", List.of("a", "b"));
        shape.put("zone", "b");
        assertEquals(List.of(), Migration.translate(old(""), shape).leftovers());
    }

    @Test
    void valuesWithoutCounterpartAreListedAsLeftovers() throws Exception {
        Map<String, Object> old =
                old(",\"parties\":[{\"name\":\"t\"}],\"flavour\":\"x\",\"kinds\":[\"m1\"]");
        old.put("known", Map.of("seq", 1.0));
        old.put("colour", "red");
        Result result = Migration.translate(old, json(SHAPE.formatted("")));
        assertTrue(
                keys(result)
                        .containsAll(
                                List.of(
                                        "known",
                                        "colour",
                                        "settings.flavour",
                                        "settings.kinds",
                                        "settings.zones",
                                        "settings.parties")),
                keys(result).toString());
        assertFalse(result.config().containsKey("known"));
        assertFalse(settings(result).containsKey("flavour"));
        assertTrue(
                result.leftovers()
                        .contains(
                                new Leftover(
                                        "colour", "red", "is no key of a node's configuration")));
    }

    /**
     * Guards against a request that takes effect twice: the old zones, which no longer exist,
     * defined which servers detect repeated requests together.
     */
    @Test
    void keyedClassOfOldZonesIsNotRetriedUntilTheShapeNamesItsGroup() throws Exception {
        Result result = translate("", "");
        assertTrue(keys(result).contains("settings.classes.pay.group"));
        assertEquals(
                0.0,
                ((Map<?, ?>) ((List<?>) settings(result).get("classes")).get(0)).get("windowMs"));
        Result withGroup =
                translate(
                        "",
                        ",\"classes\":[{\"name\":\"pay\",\"group\":\"cell\",\"windowMs\":15000}]");
        assertFalse(keys(withGroup).contains("settings.classes.pay.group"));
        assertEquals(
                15000.0,
                ((Map<?, ?>) ((List<?>) settings(withGroup).get("classes")).get(0))
                        .get("windowMs"));
    }

    @Test
    void invalidShapeIsRejectedWithItsKeyNamed() throws Exception {
        String[][] bad = {
            {"{\"zones\":[\"a\"]}", "balancers"},
            {SHAPE.formatted(",\"baton\":1"), "baton"},
            {SHAPE.formatted("").replace("\"zone\":\"room\"", "\"zone\":\"hall\""), "zone"},
            {SHAPE.formatted("").replace("\"me\":3,", "").replace("98", "5"), "me"},
            {SHAPE.formatted(",\"classes\":7"), "classes"},
        };
        for (String[] each : bad) {
            Map<String, Object> shape = json(each[0]);
            MigrationException e =
                    assertThrows(
                            MigrationException.class,
                            () -> Migration.translate(old(""), shape),
                            each[0]);
            assertTrue(e.getMessage().contains(each[1]), e.getMessage());
        }
    }
}
