// SPDX-License-Identifier: Apache-2.0
package ottergauge.program;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.ProtocolException;
import ottergauge.settings.JsonTree;
import ottergauge.transport.HollowFleet;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.ParameterException;
import picocli.CommandLine.Spec;

/**
 * Runs many nodes without clients, listeners and servers in one process, for scale tests. It reads
 * commands from standard input, one per line, and exits at the end of the input. No hollow nodes
 * are therefore left running if the parent process is killed.
 */
@Command(
        name = "hollow",
        mixinStandardHelpOptions = true,
        versionProvider = Main.Version.class,
        description = "Run many nodes without clients and servers in one process, for scale tests.",
        footerHeading = "%nCommands on standard input, one per line:%n",
        footer = {
            "  restart   drop all nodes with their connections and state, start them again at once",
            "  servers   have each node report the status of its servers",
            "  end       end the process, as the end of standard input does"
        },
        exitCodeListHeading = "%nExit codes:%n",
        exitCodeList = {" 0:ended on request", " 1:invalid configuration", " 2:wrong usage"})
final class HollowCommand implements Callable<Integer> {

    private static final Logger LOG = LoggerFactory.getLogger(HollowCommand.class);
    private static final int MAX_NODES = 2_000;
    private static final int MAX_LOOPS = 64;
    // Consecutive node numbers must not give consecutive seeds.
    private static final long SEED_STEP = 0x9e3779b97f4a7c15L;

    @Spec private CommandSpec spec;

    @Option(
            names = "--config",
            paramLabel = "FILE",
            required = true,
            description =
                    "A node's configuration; each node uses it with a name, number and seed of its"
                            + " own.")
    private Path configFile;

    @Option(
            names = "--count",
            paramLabel = "N",
            required = true,
            description = "How many nodes to run.")
    private int count;

    @Option(
            names = "--from",
            paramLabel = "K",
            defaultValue = "1",
            description = "The first node's number; ${DEFAULT-VALUE} unless given.")
    private int from;

    @Option(
            names = "--name",
            paramLabel = "PREFIX",
            defaultValue = "h",
            description = "Prefix of the nodes' names; ${DEFAULT-VALUE} unless given.")
    private String prefix;

    @Option(
            names = "--loops",
            paramLabel = "N",
            defaultValue = "1",
            description = "The event loops that they share; ${DEFAULT-VALUE} unless given.")
    private int loops;

    @Option(
            names = "--start-over-ms",
            paramLabel = "MS",
            defaultValue = "0",
            description =
                    "Start the nodes one after the other, spread over this many milliseconds.")
    private long startOver;

    @Option(
            names = "--out",
            paramLabel = "FILE",
            description =
                    "Where the report is written, as JSON lines; standard output unless given.")
    private Path outFile;

    @Override
    public Integer call() throws IOException {
        check("--count", count, 1, MAX_NODES);
        check("--from", from, 1, Integer.MAX_VALUE - MAX_NODES);
        check("--loops", loops, 1, Math.min(count, MAX_LOOPS));
        check("--start-over-ms", startOver, 0, Integer.MAX_VALUE);
        List<NodeConfig> configs = new ArrayList<>();
        try {
            Map<String, Object> template = JsonTree.read(Files.readAllBytes(configFile));
            for (int number = from; number < from + count; number++) {
                configs.add(config(template, number));
            }
        } catch (IOException | ProtocolException e) {
            LOG.error("invalid configuration {}: {}", configFile, e.toString());
            return 1;
        }
        if (outFile == null) {
            run(configs, System.out);
            System.out.flush();
        } else {
            try (OutputStream out = Files.newOutputStream(outFile)) {
                run(configs, out);
            }
        }
        return 0;
    }

    private void run(List<NodeConfig> configs, OutputStream out) throws IOException {
        HollowReport report = new HollowReport(out);
        report.begin();
        try (HollowFleet fleet = new HollowFleet(configs, loops, report::take)) {
            logFailure(fleet.start(startOver));
            handleCommands(fleet);
        }
    }

    // The handler logs a failure; nobody else waits for the result.
    @SuppressWarnings("FutureReturnValueIgnored")
    private static void logFailure(CompletableFuture<Void> started) {
        started.whenComplete(
                (done, failure) -> {
                    if (failure != null) {
                        LOG.error("not all nodes were started", failure);
                    }
                });
    }

    private void check(String option, long value, long lowest, long highest) {
        if (value < lowest || value > highest) {
            throw new ParameterException(
                    spec.commandLine(),
                    option
                            + ": a whole number from "
                            + lowest
                            + " to "
                            + highest
                            + ", not "
                            + value);
        }
    }

    // The template itself is not modified.
    private NodeConfig config(Map<String, Object> template, int number)
            throws IOException, ProtocolException {
        Map<String, Object> tree = new LinkedHashMap<>(template);
        tree.put("name", prefix + number);
        tree.put("seed", Long.toHexString(number * SEED_STEP));
        if (template.get("settings") instanceof Map<?, ?> shared) {
            Map<String, Object> settings = new LinkedHashMap<>();
            shared.forEach((key, value) -> settings.put(String.valueOf(key), value));
            settings.put("me", (double) (number - 1));
            tree.put("settings", settings);
        }
        return NodeConfig.read(JsonTree.write(tree));
    }

    private static void handleCommands(HollowFleet fleet) throws IOException {
        BufferedReader commandReader =
                new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
        for (String command = commandReader.readLine();
                command != null;
                command = commandReader.readLine()) {
            switch (command.trim()) {
                case "restart" -> logFailure(fleet.restart());
                case "servers" -> fleet.reportServers();
                case "end" -> {
                    return;
                }
                default ->
                        LOG.warn(
                                "unknown command {} ignored: expected restart, servers or end",
                                command);
            }
        }
    }
}
