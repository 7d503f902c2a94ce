// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.benchmark;

import java.util.concurrent.TimeUnit;
import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import ottergauge.capacity.workload.DecisionDriver;
import ottergauge.capacity.workload.DecisionEndpoints;
import ottergauge.capacity.workload.Fleet;
import ottergauge.capacity.workload.Loopback;
import ottergauge.capacity.workload.NodeConfiguration;
import ottergauge.decision.api.DecisionSettings;

/** Measures the decisions for one request from its arrival to its response, and a window end. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecisionBenchmark {

    private static final int WINDOWS = 2;

    @Param("100")
    public int servers;

    @Param("8")
    public int classes;

    @Param("1")
    public long seed;

    private DecisionDriver driver;

    /** Creates a decision engine and serves two windows of requests. */
    @Setup
    public void start() {
        DecisionSettings settings =
                new NodeConfiguration(
                                Loopback.UNUSED, Loopback.UNUSED, seed, classes, Fleet.emptyList())
                        .read()
                        .settings()
                        .decisions();
        driver =
                new DecisionDriver(
                        settings, seed, DecisionEndpoints.generate(servers, seed).fullList());
        driver.serveWindows(WINDOWS);
    }

    @Benchmark
    public long serveRequest() {
        return driver.serveOne();
    }

    @Benchmark
    public DecisionDriver endWindow() {
        driver.endWindow();
        return driver;
    }
}
