// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.benchmark;

import com.sun.management.OperatingSystemMXBean;
import java.lang.management.ManagementFactory;
import java.util.Collection;
import java.util.List;
import org.openjdk.jmh.infra.BenchmarkParams;
import org.openjdk.jmh.infra.IterationParams;
import org.openjdk.jmh.profile.InternalProfiler;
import org.openjdk.jmh.results.AggregationPolicy;
import org.openjdk.jmh.results.IterationResult;
import org.openjdk.jmh.results.ScalarResult;

/**
 * A JMH profiler that reports the CPU time per operation. It reads the CPU time of the process, so
 * the result includes garbage collection and JIT compilation, and excludes time in which other
 * processes had the core.
 */
public final class CpuProfiler implements InternalProfiler {

    /** The name of the result, which is in microseconds per operation. */
    public static final String RESULT = "cpu.norm";

    private static final double NANOS_PER_MICRO = 1_000;

    private final OperatingSystemMXBean system =
            (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
    private long cpuNanosBefore;

    @Override
    public String getDescription() {
        return "Processor time of the process for each operation";
    }

    @Override
    public void beforeIteration(BenchmarkParams benchmark, IterationParams iteration) {
        cpuNanosBefore = system.getProcessCpuTime();
    }

    @Override
    public Collection<ScalarResult> afterIteration(
            BenchmarkParams benchmark, IterationParams iteration, IterationResult result) {
        double cpuMicros = (system.getProcessCpuTime() - cpuNanosBefore) / NANOS_PER_MICRO;
        long operations = Math.max(1, result.getMetadata().getAllOps());
        return List.of(
                new ScalarResult(RESULT, cpuMicros / operations, "us/op", AggregationPolicy.AVG));
    }
}
