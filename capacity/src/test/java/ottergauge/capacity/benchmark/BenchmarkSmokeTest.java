// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.benchmark;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.results.RunResult;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;
import org.openjdk.jmh.runner.options.VerboseMode;

/**
 * Runs each benchmark once with 100 servers. The benchmark's own checks have to hold; the time that
 * it takes does not matter.
 */
class BenchmarkSmokeTest {

    private static final String LIST = "/META-INF/BenchmarkList";

    @Test
    void everyBenchmarkRunsAndItsChecksHold() throws RunnerException, IOException {
        Collection<RunResult> results =
                new Runner(
                                new OptionsBuilder()
                                        .include("^ottergauge\\.capacity\\.")
                                        .param("servers", "100")
                                        .param("seed", "7")
                                        .forks(0)
                                        .warmupIterations(0)
                                        .measurementIterations(1)
                                        .measurementBatchSize(3)
                                        .mode(Mode.SingleShotTime)
                                        .shouldFailOnError(true)
                                        .verbosity(VerboseMode.SILENT)
                                        .build())
                        .run();
        Set<String> ran =
                results.stream()
                        .map(each -> each.getParams().getBenchmark())
                        .collect(Collectors.toCollection(TreeSet::new));
        assertEquals(benchmarkCount(), ran.size(), "benchmarks that ran: " + ran);
        assertTrue(
                results.stream()
                        .allMatch(each -> each.getPrimaryResult().getStatistics().getN() > 0));
    }

    private static long benchmarkCount() throws IOException {
        try (InputStream list = BenchmarkSmokeTest.class.getResourceAsStream(LIST)) {
            return new String(list.readAllBytes(), StandardCharsets.UTF_8)
                    .lines()
                    .filter(line -> !line.isBlank())
                    .count();
        }
    }
}
