// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.program;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.Callable;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import ottergauge.lab.report.Report;
import ottergauge.lab.run.RunException;
import ottergauge.lab.run.ScenarioRun;
import ottergauge.lab.run.ScenarioRun.Program;
import ottergauge.lab.scenario.Scenario;
import ottergauge.lab.scenario.ScenarioException;
import ottergauge.lab.scenario.ScenarioReader;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;
import picocli.CommandLine.Spec;

/**
 * Runs one scenario. Exit code 0: all rules were kept; 1: they were not, or the run could not be
 * completed; 2: the scenario is invalid.
 */
@Command(name = "run", mixinStandardHelpOptions = true, description = "Run a scenario and report.")
final class RunCommand implements Callable<Integer> {

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
            names = "--command",
            description =
                    "The shell command that starts a node; the run line of deploy/balancer.toml "
                            + "under the root unless given.")
    private String command;

    @Option(
            names = "--logs",
            description = "Where the nodes' logs are kept; a temporary folder" + " unless given.")
    private Path logs;

    @Option(names = "--json", description = "Where the report is written as JSON.")
    private Path json;

    @Option(names = "--seconds", description = "Print the counts of each second too.")
    private boolean seconds;

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws IOException, InterruptedException {
        PrintWriter out = spec.commandLine().getOut();
        PrintWriter err = spec.commandLine().getErr();
        Scenario scenario;
        try {
            scenario = ScenarioReader.read(file);
        } catch (ScenarioException e) {
            err.println(e.getMessage());
            return BAD_INPUT;
        }
        if (seed != null) {
            scenario = scenario.withSeed(seed);
        }
        try {
            Path folder =
                    logs == null ? Files.createTempDirectory("lab") : Files.createDirectories(logs);
            Program program = new Program(command == null ? runLine(root) : command, root);
            Report report =
                    new Report(new ScenarioRun(scenario, program, folder.toAbsolutePath()).run());
            report.print(out);
            if (seconds) {
                report.printSeconds(out);
            }
            if (json != null) {
                report.write(json);
            }
            return report.verdict() == Report.Verdict.KEPT ? 0 : 1;
        } catch (RunException e) {
            err.println(e.getMessage());
            return 1;
        }
    }

    /** Returns the value of {@code run} in the deployment file. */
    static String runLine(Path root) throws IOException, RunException {
        Path deploy = root.resolve("deploy/balancer.toml");
        Matcher run =
                Pattern.compile("^run = \"(.*)\"$", Pattern.MULTILINE)
                        .matcher(Files.readString(deploy));
        if (!run.find()) {
            throw new RunException(deploy + ": the line run = is missing");
        }
        return run.group(1);
    }
}
