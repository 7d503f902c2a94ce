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
import ottergauge.lab.scale.report.ScaleReport;
import ottergauge.lab.scale.run.ScaleRun;
import ottergauge.lab.scale.scenario.ScaleScenario;
import ottergauge.lab.scale.scenario.ScaleScenarioReader;
import ottergauge.lab.scale.statistics.PhaseStatistics;

/**
 * Scale tests at a small size. They go by counts and orders alone, which a machine that is busy
 * with other things does not change; so it does not matter here whether the rig was late.
 */
@Timeout(300)
class ScaleIT {

    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    @TempDir private Path folder;

    private String text;

    private Map<String, PhaseStatistics> execute(ScaleScenario scenario) throws Exception {
        Matcher run =
                Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE)
                        .matcher(Files.readString(ROOT.resolve("deploy/balancer.toml")));
        assertTrue(run.find());
        List<PhaseStatistics> statistics = new ScaleRun(scenario, ROOT, run.group(1), folder).run();
        StringWriter printed = new StringWriter();
        new ScaleReport(scenario, statistics).print(new PrintWriter(printed));
        text = printed.toString();
        assertFalse(isProcessLeft(), "processes are left");
        return statistics.stream()
                .collect(
                        Collectors.toMap(
                                each -> each.window().phase().name(), Function.identity()));
    }

    // Whether any process still has this play's folder in its command line or environment.
    private boolean isProcessLeft() {
        return ProcessHandle.allProcesses()
                .anyMatch(
                        process -> {
                            try {
                                String processText =
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
                                        && processText.contains(folder.toString());
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
                                    phase.missingChanges(),
                                    name + ": a change never came in force\n" + text);
                            assertEquals(
                                    0,
                                    phase.nodesBehind(),
                                    name + ": a node goes by an old version\n" + text);
                            assertEquals(
                                    0,
                                    phase.nodesWithWrongServers(),
                                    name + ": a node goes by other servers\n" + text);
                            assertEquals(
                                    phase.changes() * scenario.nodes().real(),
                                    phase.propagationToRealNodes().count(),
                                    name + ": a real node has not taken a change\n" + text);
                            assertEquals(Map.of(), phase.omittedEffects(), name + "\n" + text);
                        });
    }

    @Test
    void allNodesComeToEachVersionAndTakeTheListWholeOnlyWhereTheyMust() throws Exception {
        ScaleScenario scenario = ScaleScenarioReader.read(Path.of("scale-tests/small.yaml"));
        Map<String, PhaseStatistics> phases = execute(scenario);
        assertAllReached(scenario, phases);
        for (String phaseName :
                List.of("rest", "changes", "release", "zone-lost", "apart", "stall")) {
            assertEquals(
                    0,
                    phases.get(phaseName).fullLists().lists(),
                    phaseName
                            + ": a list was taken whole that a version would have done for\n"
                            + text);
        }
        // Begun anew, a node takes it once; more often only if its call was not answered in time.
        long hollow = scenario.nodes().hollow();
        assertTrue(phases.get("start").fullLists().lists() >= scenario.allNodes(), text);
        assertTrue(phases.get("restart").fullLists().lists() >= hollow, text);
        assertTrue(phases.get("restart").fullLists().lists() < 2 * hollow, text);
        assertEquals(hollow, phases.get("restart").propagationAfterRestart().count(), text);
        assertTrue(phases.get("apart").changes() > 0 && phases.get("kill").changes() > 0, text);
    }

    /** Guards against a change that costs by the list. */
    @Test
    void aChangeCostsAsManyBytesWhateverTheListsSize() throws Exception {
        double small = bytesPerChange(100);
        double large = bytesPerChange(1_600);
        assertTrue(
                large < small * 1.5,
                large + " bytes a change with 1,600 servers, " + small + " with 100\n" + text);
    }

    private double bytesPerChange(int servers) throws Exception {
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
        Map<String, PhaseStatistics> phases = execute(scenario);
        assertAllReached(scenario, phases);
        PhaseStatistics changes = phases.get("changes");
        double seconds = (changes.window().until() - changes.window().from()) / 1e6;
        return changes.bytesPerNodePerSecond() * seconds / changes.changes();
    }
}
