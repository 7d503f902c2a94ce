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
 * Runs benchmarks at some sizes; gives back two rows for each: its CPU time, and the bytes it
 * allocates.
 */
final class Benchmarks {

    /** What is run: a method of a benchmark's class, under the name that the page gives it. */
    record Plan(Class<?> type, String method, String what) {}

    /**
     * Plans that are run at all sizes, and plans whose input has one size: these at the ends alone.
     */
    record Plans(List<Plan> atAllSizes, List<Plan> atEnds) {}

    /** How often: for {@code forks} of 0 in this process, which is for a test alone. */
    record Effort(int forks, int warmups, int iterations, TimeValue each) {}

    private static final String ALLOCATED = "gc.alloc.rate.norm";

    private final Effort effort;
    private final long seed;
    private final List<String> jvmFlags;

    Benchmarks(Effort effort, long seed, List<String> jvmFlags) {
        this.effort = effort;
        this.seed = seed;
        this.jvmFlags = jvmFlags;
    }

    /** Rows by number of servers, each with this number of classes. */
    List<Row> byServers(Plan plan, List<Integer> sizes, int classes) throws RunnerException {
        return rows(plan, "servers", sizes, "classes", classes);
    }

    /** Rows of all plans by number of servers. */
    List<Row> byServers(Plans plans, List<Integer> sizes, int classes) throws RunnerException {
        List<Row> rows = new ArrayList<>();
        for (Plan plan : plans.atAllSizes()) {
            rows.addAll(byServers(plan, sizes, classes));
        }
        List<Integer> ends = List.of(sizes.get(0), sizes.get(sizes.size() - 1));
        for (Plan plan : plans.atEnds()) {
            rows.addAll(byServers(plan, ends, classes));
        }
        return rows;
    }

    /** Rows by number of classes, each with this number of servers. */
    List<Row> byClasses(Plan plan, List<Integer> sizes, int servers) throws RunnerException {
        return rows(plan, "classes", sizes, "servers", servers);
    }

    private List<Row> rows(
            Plan plan, String sizeParameter, List<Integer> sizes, String fixedParameter, int fixed)
            throws RunnerException {
        ChainedOptionsBuilder options =
                new OptionsBuilder()
                        .include("^" + plan.type().getName() + "\\." + plan.method() + "$")
                        .param("seed", Long.toString(seed))
                        .param(
                                sizeParameter,
                                sizes.stream().map(String::valueOf).toArray(String[]::new))
                        .param(fixedParameter, Integer.toString(fixed))
                        .forks(effort.forks())
                        .warmupIterations(effort.warmups())
                        .warmupTime(effort.each())
                        .measurementIterations(effort.iterations())
                        .measurementTime(effort.each())
                        .addProfiler(GCProfiler.class)
                        .addProfiler(CpuProfiler.class)
                        .shouldFailOnError(false)
                        .verbosity(VerboseMode.SILENT);
        if (effort.forks() > 0) {
            options.jvmArgs(jvmFlags.toArray(new String[0]));
        }
        Row cpu = Row.of(plan.what(), "µs of CPU");
        Row allocated = Row.of(plan.what(), "B allocated");
        for (int size : sizes) {
            Cell none = new Failed("no result");
            cpu.put(size, none);
            allocated.put(size, none);
        }
        for (RunResult result : new Runner(options.build()).run()) {
            BenchmarkParams parameters = result.getParams();
            int size = Integer.parseInt(parameters.getParam(sizeParameter));
            cpu.put(size, cell(result.getSecondaryResults().get(CpuProfiler.RESULT)));
            allocated.put(size, cell(result.getSecondaryResults().get(ALLOCATED)));
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
