// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import ottergauge.lab.scale.statistics.PhaseStatistics;
import ottergauge.lab.scale.run.ScaleRun;
import ottergauge.lab.scale.report.ScaleReport;
import ottergauge.lab.scale.scenario.ScaleScenario;
import ottergauge.lab.scale.scenario.ScaleScenarioReader;

/**
 * Scale tests at a small size. They go by counts and orders alone, which a machine that is busy
 * with other things does not change; so it does not matter here whether the rig was late.
 */
@Timeout(300)
class ScaleIT {

    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    @TempDir private Path folder;

    private String text;

    private Map<String, PhaseStatistics> play(ScaleScenario scenario) throws Exception {
        Matcher run =
                Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE)
                        .matcher(Files.readString(ROOT.resolve("deploy/balancer.toml")));
        assertTrue(run.find());
        List<PhaseStatistics> figures = new ScaleRun(scenario, ROOT, run.group(1), folder).run();
        StringWriter printed = new StringWriter();
        new ScaleReport(scenario, figures).print(new PrintWriter(printed));
        text = printed.toString();
        assertFalse(left(), "processes are left");
        return figures.stream()
                .collect(
                        Collectors.toMap(
                                each -> each.window().phase().name(), Function.identity()));
    }

    // Whether any process still has this play's folder in its command line or environment.
    private boolean left() {
        return ProcessHandle.allProcesses()
                .anyMatch(
                        process -> {
                            try {
                                String told =
                                        Files.readString(
                                                        Path.of(
                                                                "/proc/"
                                                                        + process.pid()
                                                                        + "/cmdline"))
                                                + Files.readString(
                                                        Path.of(
                                                                "/proc/"
                                                                        + process.pid()
                                                                        + "/environ"));
                                return process.pid() != ProcessHandle.current().pid()
                                        && told.contains(folder.toString());
                            } catch (IOException e) {
                                return false;
                            }
                        });
    }

    private void assertAllReached(ScaleScenario scenario, Map<String, PhaseStatistics> phases) {
        phases.values()
                .forEach(
                        phase -> {
                            String name = phase.window().phase().name();
                            assertEquals(
                                    0,
                                    phase.missing(),
                                    name + ": a change never came in force\n" + text);
                            assertEquals(
                                    0,
                                    phase.behind(),
                                    name + ": a node goes by an old version\n" + text);
                            assertEquals(
                                    0,
                                    phase.wrong(),
                                    name + ": a node goes by other servers\n" + text);
                            assertEquals(
                                    phase.changes() * scenario.nodes().real(),
                                    phase.atRealNodes().count(),
                                    name + ": a real node has not taken a change\n" + text);
                            assertEquals(Map.of(), phase.leftOut(), name + "\n" + text);
                        });
    }

    @Test
    void allNodesComeToEachVersionAndTakeTheListWholeOnlyWhereTheyMust() throws Exception {
        ScaleScenario scenario = ScaleScenarioReader.read(Path.of("scale-tests/small.yaml"));
        Map<String, PhaseStatistics> phases = play(scenario);
        assertAllReached(scenario, phases);
        for (String resumes :
                List.of("rest", "changes", "release", "zone-lost", "apart", "stall")) {
            assertEquals(
                    0,
                    phases.get(resumes).wholeLists().lists(),
                    resumes
                            + ": a list was taken whole that a version would have done for\n"
                            + text);
        }
        // Begun anew, a node takes it once; more often only if its call was not answered in time.
        long hollow = scenario.nodes().hollow();
        assertTrue(phases.get("start").wholeLists().lists() >= scenario.allNodes(), text);
        assertTrue(phases.get("restart").wholeLists().lists() >= hollow, text);
        assertTrue(phases.get("restart").wholeLists().lists() < 2 * hollow, text);
        assertEquals(hollow, phases.get("restart").afterRestart().count(), text);
        assertTrue(phases.get("apart").changes() > 0 && phases.get("kill").changes() > 0, text);
    }

    /** Guards against a change that costs by the list. */
    @Test
    void aChangeCostsAsManyBytesWhateverTheListsSize() throws Exception {
        double small = bytesAChange(100);
        double large = bytesAChange(1_600);
        assertTrue(
                large < small * 1.5,
                large + " bytes a change with 1,600 servers, " + small + " with 100\n" + text);
    }

    private double bytesAChange(int servers) throws Exception {
        ScaleScenario scenario =
                ScaleScenarioReader.read(
                        "bytes",
                        """
                        name: bytes
                        nodes: {hollow: 4, processes: 1, heap_mb: 96, start_over: 100ms}
                        state: {servers: %d}
                        phases: [{what: changes, for: 3s, rate: 20}]
                        """
                                .formatted(servers));
        Map<String, PhaseStatistics> phases = play(scenario);
        assertAllReached(scenario, phases);
        PhaseStatistics changes = phases.get("changes");
        double seconds = (changes.window().until() - changes.window().from()) / 1e6;
        return changes.bytesANode() * seconds / changes.changes();
    }
}
