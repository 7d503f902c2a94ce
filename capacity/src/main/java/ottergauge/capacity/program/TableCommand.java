// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.program;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.Callable;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.util.Version;
import ottergauge.capacity.node.NodeMeasurement;
import ottergauge.capacity.node.RunLine;
import ottergauge.capacity.program.Benchmarks.RunSettings;
import ottergauge.capacity.program.ReducerSections.Sizes;
import ottergauge.capacity.report.MarkdownWriter;
import ottergauge.capacity.report.Page;
import ottergauge.capacity.report.Section;
import picocli.CommandLine.Command;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Option;
import picocli.CommandLine.Spec;

/** Takes all measurements and writes the page. */
@Command(
        name = "table",
        mixinStandardHelpOptions = true,
        description = "Take all measurements and write one page of tables.")
public final class TableCommand implements Callable<Integer> {

    private static final Sizes SIZES =
            new Sizes(List.of(100, 1_000, 4_000, 8_000), List.of(1, 8, 64, 500));
    private static final RunSettings BENCHMARK_RUN =
            new RunSettings(2, 2, 3, TimeValue.milliseconds(300));

    private static final NodeMeasurement.RunSettings NODE_RUN =
            new NodeMeasurement.RunSettings(3, 2_000, 8, 4, 2, 400, 3, 8, 8_000);

    @Option(
            names = "--root",
            defaultValue = ".",
            description = "The folder of the program under test.")
    private Path root;

    @Option(names = "--out", required = true, description = "Where the page is written.")
    private Path out;

    @Option(
            names = "--parts",
            split = ",",
            defaultValue = "node,reducers",
            description = "What is measured: node, reducers; all of it unless given.")
    private Set<Part> parts;

    @Option(
            names = "--seed",
            defaultValue = "20260101",
            description = "Seed of the generated lists and configurations.")
    private long seed;

    private enum Part {
        NODE,
        REDUCERS
    }

    @Spec private CommandSpec spec;

    @Override
    public Integer call() throws IOException, RunnerException, InterruptedException {
        PrintWriter log = spec.commandLine().getOut();
        long startedAt = System.nanoTime();
        double loadBefore = Conditions.loadAverage();
        RunLine run = RunLine.read(root);
        Benchmarks benchmarks = new Benchmarks(BENCHMARK_RUN, seed, run.jvmFlags());
        List<Section> sections = new ArrayList<>();
        if (parts.contains(Part.NODE)) {
            measureNode(log, run, sections);
        }
        if (parts.contains(Part.REDUCERS)) {
            measureReducers(log, new ReducerSections(benchmarks, SIZES, seed), sections);
        }
        long seconds = (System.nanoTime() - startedAt) / 1_000_000_000;
        Page page = new Page(conditions(run, loadBefore, seconds), sections);
        Files.writeString(out, MarkdownWriter.write(page));
        log.println("written to " + out + " after " + seconds + " s");
        return 0;
    }

    private void measureNode(PrintWriter log, RunLine run, List<Section> sections)
            throws InterruptedException {
        try (NodeMeasurement node =
                new NodeMeasurement(run, root, seed, ReducerSections.DEFAULT_CLASSES, NODE_RUN)) {
            for (Section section : new NodeSections(node, NODE_RUN, SIZES.servers()).measure()) {
                sections.add(logDone(log, section));
            }
        }
    }

    private static void measureReducers(
            PrintWriter log, ReducerSections reducers, List<Section> sections)
            throws RunnerException {
        sections.add(logDone(log, reducers.heapByServers()));
        sections.add(logDone(log, reducers.heapByClasses()));
        sections.add(logDone(log, reducers.lists()));
        sections.add(logDone(log, reducers.versionedState()));
        sections.add(logDone(log, reducers.decisionsByServers()));
        sections.add(logDone(log, reducers.decisionsByClasses()));
    }

    private static Section logDone(PrintWriter log, Section section) {
        log.println(section.title());
        log.flush();
        return section;
    }

    private List<String> conditions(RunLine run, double loadBefore, long seconds) {
        return List.of(
                "Sources: " + Conditions.version(root) + ". Seed " + seed + ".",
                "Machine: "
                        + Runtime.getRuntime().availableProcessors()
                        + " cores ("
                        + Conditions.processor()
                        + "), shared; Java "
                        + Runtime.version()
                        + ".",
                String.format(
                        Locale.ROOT,
                        "Load average of a minute: %.1f at the start, %.1f at the end; the"
                                + " run took %d s. Other work may have run beside it.",
                        loadBefore,
                        Conditions.loadAverage(),
                        seconds),
                "Benchmarks: JMH "
                        + Version.getPlainVersion()
                        + ", one thread, "
                        + BENCHMARK_RUN.forks()
                        + " forks, each of "
                        + BENCHMARK_RUN.warmups()
                        + " warm-up and "
                        + BENCHMARK_RUN.iterations()
                        + " measured iterations of "
                        + BENCHMARK_RUN.iterationTime()
                        + "; CPU is the process's, its collector and compiler"
                        + " included, read in steps of 10 ms; bytes by the profiler `gc`.",
                "Flags of the forks, those of the node's own `run` line: `"
                        + String.join(" ", run.jvmFlags())
                        + "`.",
                "A cell is the median of the iterations, with the least and the most; one value"
                        + " alone is exact, or was the same each time. The fit is a line by least"
                        + " squares through the medians, and holds over the sizes named.");
    }
}
