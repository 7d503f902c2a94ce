// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import ottergauge.lab.scale.scenario.ScaleScenario.Phase;
import ottergauge.lab.scale.scenario.ScaleScenario.PhaseKind;
import ottergauge.lab.scenario.ScenarioException;

/** Scale tests are checked whole, and what is wrong is named with its line. */
class ScaleScenarioReaderTest {

    private static final String GOOD =
            """
            name: test
            regions: 2
            nodes: {hollow: 10, processes: 4}
            state: {servers: 100, services: 5}
            phases:
              - {what: changes, for: 5s, a_day: 864, compressed: 10}
              - {what: release, for: 5s, within: 60min}
              - {what: stall, for: 5s, who: hollow-4, away: 3s}
            """;

    private static ScaleScenario read(String text) throws ScenarioException {
        return ScaleScenarioReader.read("file.yaml", text);
    }

    @Test
    void ratesFollowFromWhatTheyStandFor() throws ScenarioException {
        List<Phase> phases = read(GOOD).phases();
        assertEquals(0.1, phases.get(0).rate(), 1e-9);
        assertEquals(10, phases.get(0).compression());
        assertEquals(300 / 3600.0, phases.get(1).rate(), 1e-9);
        assertEquals(
                new Phase(
                        "stall",
                        PhaseKind.STALL,
                        5_000_000,
                        0,
                        1,
                        0,
                        List.of(),
                        "hollow-4",
                        3_000_000),
                phases.get(2));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "regions: 2|regions: 21|file.yaml:2: regions: a whole number from 1 to 20, not 21",
                "processes: 4|processes: 5|file.yaml:3: processes: a multiple of the 2 regions",
                "hollow: 10|hollow: 3|file.yaml:3: processes: a multiple of the 2 regions and at"
                        + " most one per node",
                "hollow: 10|hollow: 10, reel: 1|file.yaml:3: reel: unknown key",
                "servers: 100|servers: 20001|file.yaml:4: servers: a whole number from 1 to 20000,"
                        + " not 20001",
                "hollow-4|hollow-5|file.yaml:8: who: discovery, or hollow-1 to hollow-4, not"
                        + " hollow-5",
                "away: 3s|away: 5s|file.yaml:8: away: a time shorter than the phase, not 5s",
                "what: release|name: start, what: release|file.yaml:7: name: a unique name",
                "for: 5s, a_day|for: 61min, a_day|file.yaml:6: phases: a list of at least one"
                        + " phase, of at most an hour",
                "what: stall|what: nap|file.yaml:8: what: one of rest, changes, release, restart,"
                        + " zone-lost"
            })
    void whatIsWrongIsNamed(String good, String bad, String message) {
        assertTrue(GOOD.contains(good), good);
        String actual =
                assertThrows(ScenarioException.class, () -> read(GOOD.replace(good, bad)))
                        .getMessage();
        assertTrue(actual.startsWith(message), actual);
    }

    @Test
    void thoseOfTheRepositoryAreGood() throws Exception {
        try (Stream<Path> files = Files.list(Path.of("scale-tests"))) {
            for (Path file : files.toList()) {
                ScaleScenarioReader.read(file);
            }
        }
    }
}
