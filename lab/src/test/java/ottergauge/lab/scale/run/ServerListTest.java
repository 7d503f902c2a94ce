// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.run;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import ottergauge.lab.scale.scenario.ScaleScenario;
import ottergauge.lab.scale.scenario.ScaleScenario.Discovery;
import ottergauge.lab.scale.scenario.ScaleScenario.Nodes;
import ottergauge.lab.scale.scenario.ScaleScenario.State;

/** What becomes of the servers of a play. */
class ServerListTest {

    private static ServerList list(long seed) {
        return new ServerList(
                new ScaleScenario(
                        "test",
                        seed,
                        new Nodes(1, 1, 1, 1, 0, 0, false),
                        1,
                        new State(20, 4),
                        new Discovery(1, 1, 1),
                        0,
                        List.of()));
    }

    private static String change(JsonNode entries) {
        assertEquals(1, entries.size());
        return entries.get(0).get("host").asText() + " " + entries.get(0).get("health").asText();
    }

    @Test
    void aReleaseReplacesEachServerInTurn() {
        ServerList list = list(1);
        assertEquals(
                List.of(
                        "svc-000-s00000-0 terminating",
                        "svc-000-s00000-0 terminated",
                        "svc-000-s00000-1 in_service",
                        "svc-001-s00001-0 terminating"),
                Stream.generate(() -> change(list.release(5))).limit(4).toList());
        assertEquals(20, list.allEntries().size());
    }

    @Test
    void aZoneLostTakesAPartOfAllAtOnce() {
        ServerList list = list(1);
        JsonNode entries = list.loseZones(0.1);
        assertEquals(2, entries.size());
        entries.forEach(each -> assertEquals("z0", each.get("site").asText()));
        assertEquals(18, list.allEntries().size());
    }

    @Test
    void drawnChangesAreThoseOfTheSeedAndKeepSomeServers() {
        ServerList list = list(1);
        ServerList same = list(1);
        ServerList other = list(2);
        Set<String> kinds = new HashSet<>();
        StringBuilder firstSequence = new StringBuilder();
        StringBuilder otherSequence = new StringBuilder();
        for (int i = 0; i < 200; i++) {
            String change = change(list.randomChange(i));
            assertEquals(change, change(same.randomChange(i)));
            firstSequence.append(change);
            otherSequence.append(change(other.randomChange(i)));
            kinds.add(change.substring(change.indexOf(' ') + 1));
            assertTrue(list.allEntries().size() > 0);
        }
        assertNotEquals(firstSequence.toString(), otherSequence.toString());
        assertEquals(Set.of("in_service", "terminating", "terminated"), kinds);
    }

    @Test
    void theDigestFollowsNamesAndStates() {
        ServerList list = list(1);
        String before = list.digest();
        list.release(1);
        String draining = list.digest();
        list.release(1);
        assertNotEquals(before, draining);
        assertNotEquals(draining, list.digest());
        assertEquals(list(3).digest(), before);
    }
}
