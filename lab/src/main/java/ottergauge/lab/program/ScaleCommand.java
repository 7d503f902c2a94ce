// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.program;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import ottergauge.lab.run.RunException;
import ottergauge.lab.scale.report.ScaleReport;
import ottergauge.lab.scale.run.ScaleRun;
import ottergauge.lab.scale.scenario.ScaleScenario;
import ottergauge.lab.scale.scenario.ScaleScenarioReader;
import ottergauge.lab.scenario.ScenarioException;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Runs one scale test. Exit code 0: all changes took effect on all nodes; 1: they did not, the
 * laboratory itself ran late, or the run could not be completed; 2: the scenario is invalid.
 */
@Command(
        name = "scale",
        mixinStandardHelpOptions = true,
        description = "Run a scale test with hollow nodes and report.")
final class ScaleCommand implements Callable<Integer> {

    private static final int BAD_INPUT = 2;

    @Parameters(paramLabel = "SCENARIO", description = "The scenario, as YAML.")
    private Path file;

    @Option(names = "--seed", description = "Another seed than the scenario's.")
    private Long seed;

    @Option(
            names = "--root",
            defaultValue = ".",
            description = "The folder of the program under test.")
    private Path root;

    @Option(
            names = "--logs",
            description =
                    "Where configurations and logs are kept; a temporary folder" + " unless given.")
    private Path logs;

    @Option(names = "--json", description = "Where the report is written as JSON.")
    private Path json;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter err = spec.commandLine().getErr();
        ScaleScenario scenario;
        try {
            scenario = ScaleScenarioReader.read(file);
        } catch (ScenarioException e) {
            err.println(e.getMessage());
            return BAD_INPUT;
        }
        scenario = seed == null ? scenario : scenario.withSeed(seed);
        Path folder =
                logs == null ? Files.createTempDirectory("scale") : Files.createDirectories(logs);
        try {
            ScaleRun scaleRun =
                    new ScaleRun(
                            scenario,
                            root.toAbsolutePath(),
                            RunCommand.runLine(root),
                            folder.toAbsolutePath());
            ScaleReport report = new ScaleReport(scenario, scaleRun.run());
            report.print(spec.commandLine().getOut());
            if (json != null) {
                Files.writeString(json, report.json());
            }
            return report.reached() ? 0 : 1;
        } catch (RunException e) {
            err.println(e.getMessage());
            return 1;
        }
    }
}
