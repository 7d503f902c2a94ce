// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.run;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ottergauge.lab.report.Report;
import ottergauge.lab.run.ScenarioRun.Program;
import ottergauge.lab.scenario.Scenario;
import ottergauge.lab.scenario.ScenarioReader;

/**
 * Runs scenarios with the node that the parent project has built, started by its own {@code run}
 * line.
 */
@Timeout(180)
class ScenarioRunIT {

    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    @TempDir private Path folder;

    static String runLine() throws IOException {
        Matcher run =
                Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE)
                        .matcher(Files.readString(ROOT.resolve("deploy/balancer.toml")));
        assertTrue(run.find());
        return run.group(1);
    }

    private Report runScenario(String file, String command) throws Exception {
        Scenario scenario = ScenarioReader.read(Path.of("scenarios", file));
        return new Report(new ScenarioRun(scenario, new Program(command, ROOT), folder).run());
    }

    private static String text(Report report) {
        StringWriter text = new StringWriter();
        report.print(new PrintWriter(text));
        return text.toString();
    }

    @Test
    void theRulesHoldUnderAllFaults() throws Exception {
        Report report = runScenario("faults.yaml", runLine());
        assertEquals("[]", report.violations().toString(), text(report));
        assertTrue(report.statistics().steps().get(0).worth() > 0.5, text(report));
        assertFalse(processesLeft(), "processes are left");
    }

    /**
     * Guards against requests to servers that started to drain right after all watches had stopped
     * receiving updates.
     */
    @Test
    void aServerThatLeavesWhileWatchesAreSilentGetsNothingNew() throws Exception {
        Report report = runScenario("silent.yaml", runLine());
        assertEquals("[]", report.violations().toString(), text(report));
        assertTrue(report.statistics().steps().get(0).worth() > 0.5, text(report));
    }

    /**
     * Guards against requests to servers that drained while discovery was unavailable or its
     * watches were silent, and against attempts for clients that had closed their connections while
     * their requests were pending or their node was stopped.
     */
    @ParameterizedTest
    @ValueSource(strings = {"late-list.yaml", "leaving.yaml"})
    void requestsThatAreOverAreNotForwarded(String scenario) throws Exception {
        Report report = runScenario(scenario, runLine());
        assertEquals("[]", report.violations().toString(), text(report));
        assertTrue(report.statistics().steps().get(0).worth() > 0.3, text(report));
    }

    // Whether any process still has this run's folder in its environment.
    private boolean processesLeft() {
        return ProcessHandle.allProcesses()
                .anyMatch(
                        process -> {
                            try {
                                return new String(
                                                Files.readAllBytes(
                                                        Path.of(
                                                                "/proc/"
                                                                        + process.pid()
                                                                        + "/environ")),
                                                UTF_8)
                                        .contains(folder.toString());
                            } catch (IOException e) {
                                return false;
                            }
                        });
    }

    @Test
    void aNodeThatNeverBecomesReadyIsReportedWithItsLogTail() {
        String message =
                assertThrows(
                                RunException.class,
                                () -> runScenario("faults.yaml", "echo no such program; exit 3"))
                        .getMessage();
        assertTrue(
                message.startsWith("n1 ended before it was ready")
                        && message.contains("no such program"),
                message);
        assertFalse(processesLeft(), "processes are left");
    }
}
