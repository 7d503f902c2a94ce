// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.program;

import java.util.ArrayList;
import java.util.List;
import org.openjdk.jmh.infra.BenchmarkParams;
import org.openjdk.jmh.profile.GCProfiler;
import org.openjdk.jmh.results.Result;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.ChainedOptionsBuilder;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.TimeValue;
import org.openjdk.jmh.runner.options.VerboseMode;
import ottergauge.capacity.benchmark.CpuProfiler;
import ottergauge.capacity.report.Cell;
import ottergauge.capacity.report.Cell.Failed;
import ottergauge.capacity.report.Row;
import ottergauge.capacity.report.Spread;

/**
 * Runs JMH benchmarks at several sizes. Each benchmark gives two rows: CPU time and allocated bytes
 * per operation.
 */
final class Benchmarks {

    /** A benchmark: a method of a benchmark class, and its label on the page. */
    record BenchmarkMethod(Class<?> type, String method, String label) {}

    /**
     * Benchmarks that run at all sizes, and benchmarks whose input does not depend on the size,
     * which run at the smallest and largest size only.
     */
    record BenchmarkGroup(
            List<BenchmarkMethod> atAllSizes, List<BenchmarkMethod> atSmallestAndLargest) {}

    /**
     * The number and length of JMH iterations. With 0 {@code forks}, benchmarks run in this
     * process, which is only for tests.
     */
    record RunSettings(int forks, int warmups, int iterations, TimeValue iterationTime) {}

    private static final String ALLOCATED_BYTES = "gc.alloc.rate.norm";

    private final RunSettings runSettings;
    private final long seed;
    private final List<String> jvmFlags;

    Benchmarks(RunSettings runSettings, long seed, List<String> jvmFlags) {
        this.runSettings = runSettings;
        this.seed = seed;
        this.jvmFlags = jvmFlags;
    }

    /** Runs a benchmark at each number of servers, with a fixed number of request classes. */
    List<Row> byServers(BenchmarkMethod benchmark, List<Integer> sizes, int classes)
            throws RunnerException {
        return rows(benchmark, "servers", sizes, "classes", classes);
    }

    /** Runs all benchmarks of a group by number of servers. */
    List<Row> byServers(BenchmarkGroup group, List<Integer> sizes, int classes)
            throws RunnerException {
        List<Row> rows = new ArrayList<>();
        for (BenchmarkMethod benchmark : group.atAllSizes()) {
            rows.addAll(byServers(benchmark, sizes, classes));
        }
        List<Integer> smallestAndLargest = List.of(sizes.get(0), sizes.get(sizes.size() - 1));
        for (BenchmarkMethod benchmark : group.atSmallestAndLargest()) {
            rows.addAll(byServers(benchmark, smallestAndLargest, classes));
        }
        return rows;
    }

    /** Runs a benchmark at each number of request classes, with a fixed number of servers. */
    List<Row> byClasses(BenchmarkMethod benchmark, List<Integer> sizes, int servers)
            throws RunnerException {
        return rows(benchmark, "classes", sizes, "servers", servers);
    }

    private List<Row> rows(
            BenchmarkMethod benchmark,
            String sizeParameter,
            List<Integer> sizes,
            String fixedParameter,
            int fixed)
            throws RunnerException {
        ChainedOptionsBuilder options =
                new OptionsBuilder()
                        .include(
                                "^" + benchmark.type().getName() + "\\." + benchmark.method() + "$")
                        .param("seed", Long.toString(seed))
                        .param(
                                sizeParameter,
                                sizes.stream().map(String::valueOf).toArray(String[]::new))
                        .param(fixedParameter, Integer.toString(fixed))
                        .forks(runSettings.forks())
                        .warmupIterations(runSettings.warmups())
                        .warmupTime(runSettings.iterationTime())
                        .measurementIterations(runSettings.iterations())
                        .measurementTime(runSettings.iterationTime())
                        .addProfiler(GCProfiler.class)
                        .addProfiler(CpuProfiler.class)
                        .shouldFailOnError(false)
                        .verbosity(VerboseMode.SILENT);
        if (runSettings.forks() > 0) {
            options.jvmArgs(jvmFlags.toArray(new String[0]));
        }
        Row cpu = Row.of(benchmark.label(), "µs of CPU");
        Row allocated = Row.of(benchmark.label(), "B allocated");
        for (int size : sizes) {
            Cell missing = new Failed("no result");
            cpu.put(size, missing);
            allocated.put(size, missing);
        }
        for (RunResult result : new Runner(options.build()).run()) {
            BenchmarkParams parameters = result.getParams();
            int size = Integer.parseInt(parameters.getParam(sizeParameter));
            cpu.put(size, cell(result.getSecondaryResults().get(CpuProfiler.RESULT)));
            allocated.put(size, cell(result.getSecondaryResults().get(ALLOCATED_BYTES)));
        }
        return new ArrayList<>(List.of(cpu, allocated));
    }

    private static Cell cell(Result<?> result) {
        if (result == null) {
            return new Failed("not told");
        }
        var values = result.getStatistics();
        return new Cell.Measured(
                new Spread(
                        values.getPercentile(50),
                        values.getMin(),
                        values.getMax(),
                        (int) values.getN()));
    }
}
