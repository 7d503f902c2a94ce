// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class ScenarioReaderTest {

    private static final String GOOD =
            """
            name: small
            length: 10s
            zones: [a, b]
            nodes: {count: 2}
            servers:
              - {kind: std, count: 3, cores: 2}
            classes:
              - {name: view, work: 50ms, aim: 400ms, deadline: 1s}
            load:
              - {from: 0s, rate: 0.5}
              - {from: 4s, rate: 2}
            faults:
              - {at: 1s, for: 500ms, what: node-stall, who: n2}
              - {at: 2s, for: 1.5s, what: link-drop, who: [n1], to: [servers], way: there}
            """;

    @Test
    void aScenarioIsReadWithItsUnits() throws ScenarioException {
        Scenario scenario = ScenarioReader.read("small.yaml", GOOD);
        assertEquals(10_000_000, scenario.length());
        assertEquals(3 * 2 * 1000 / 50.0, scenario.capacity());
        assertEquals(2, scenario.rateAt(5_000_000));
        assertEquals(Scenario.FaultKind.NODE_STALL, scenario.faults().get(0).faultKind());
        assertEquals(1_500_000, scenario.faults().get(1).duration());
        assertEquals(List.of("servers"), scenario.faults().get(1).peers());
    }

    /**
     * Each line of a valid scenario replaced by an invalid one: the message has file, line, key and
     * what is allowed.
     */
    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "length: 10s|length: 10|small.yaml:2: length: a time with its unit",
                "length: 10s|length: 10h|small.yaml:2: length: a time with its unit",
                "length: 10s|lenght: 10s|small.yaml:1: length: missing; a time with its unit",
                "zones: [a, b]|zones: [a, b]%colour: red|small.yaml:4: colour: unknown key; known"
                        + " here: classes",
                "nodes: {count: 2}|nodes: {count: -2}|small.yaml:4: count: a whole number of 1 or"
                        + " more, not -2",
                "nodes: {count: 2}|nodes: {count: 200}|small.yaml:4: count: at most 99 nodes",
                "nodes: {count: 2}|nodes: {count: 2, cores: 3}|small.yaml:4: cores: a fraction of"
                        + " a core from 0.05 to 1",
                "count: 3, cores: 2|count: 3, cores: two|small.yaml:6: cores: a whole number of 1"
                        + " or more, not two",
                "work: 50ms, aim: 400ms|aim: 400ms|small.yaml:8: work: missing; a time with its"
                        + " unit",
                "deadline: 1s|deadline: 300ms|small.yaml:8: deadline: a time not before the aim",
                "deadline: 1s|deadline: 1s, effect: odd|small.yaml:8: effect: one of safe, keyed,"
                        + " unsafe, not odd",
                "from: 4s, rate: 2|from: 12s, rate: 2|small.yaml:11: from: a time after the"
                        + " previous step",
                "from: 0s, rate: 0.5|from: 0s, rate: -1|small.yaml:10: rate: a number of 0 or more,"
                        + " not -1",
                "what: node-stall|what: node-sulk|small.yaml:13: what: one of node-kill",
                "who: n2|part: 1.5|small.yaml:13: part: a fraction from 0 to 1",
                "who: n2|who: n3|small.yaml: faults: 1: n3: no process of this scenario; allowed"
                        + " are n1 to n2",
                "to: [servers], way|way|small.yaml: faults: 2: who, to: a link has two sides",
                "name: small|name: [small|small.yaml:2: invalid YAML"
            })
    void errorsNameFileLineAndKey(String good, String bad, String message) {
        String text = GOOD.replace(good, bad.replace("%", "\n"));
        String actual =
                assertThrows(ScenarioException.class, () -> ScenarioReader.read("small.yaml", text))
                        .getMessage();
        assertTrue(actual.startsWith(message), actual);
    }

    /** Guards against scenario files in the repository that no longer match the reader. */
    @Test
    void theProjectsOwnScenariosCanBeRead() throws IOException, ScenarioException {
        try (Stream<Path> files = Files.list(Path.of("scenarios"))) {
            for (Path file : files.toList()) {
                assertTrue(ScenarioReader.read(file).length() > 0, file.toString());
            }
        }
    }
}
