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
import ottergauge.decision.api.DecisionEvent.EndpointUpdate;
import ottergauge.decision.api.DecisionSettings;

/** Measures how the decision engine alone applies an endpoint list or an incremental update. */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class DecisionListBenchmark {

    // Windows of requests that are served before the measurement.
    private static final int WINDOWS = 2;

    @Param("100")
    public int servers;

    @Param("8")
    public int classes;

    @Param("1")
    public long seed;

    private DecisionEndpoints endpoints;
    private EndpointUpdate fullList;
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
        endpoints = DecisionEndpoints.generate(servers, seed);
        fullList = endpoints.fullList();
        driver = new DecisionDriver(settings, seed, fullList);
        driver.serveWindows(WINDOWS);
    }

    @Benchmark
    public DecisionDriver followWhole() {
        driver.applyUpdate(fullList);
        return driver;
    }

    @Benchmark
    public DecisionDriver followChange() {
        driver.applyUpdate(endpoints.change());
        return driver;
    }
}
