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
import ottergauge.capacity.workload.Fleet;
import ottergauge.capacity.workload.Loopback;
import ottergauge.capacity.workload.NodeConfiguration;
import ottergauge.capacity.workload.RouterDriver;

/**
 * Measures how a router applies an endpoint list or an incremental update in all its parts,
 * decision engine included.
 */
@State(Scope.Benchmark)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
public class RouterListBenchmark {

    @Param("100")
    public int servers;

    @Param("8")
    public int classes;

    @Param("1")
    public long seed;

    private Fleet fleet;
    private RouterDriver driver;

    /** Starts a router with the full list in its configuration. */
    @Setup
    public void start() {
        fleet = Fleet.generate(servers, seed, Loopback.UNUSED);
        driver =
                new RouterDriver(
                        new NodeConfiguration(
                                        Loopback.UNUSED,
                                        Loopback.UNUSED,
                                        seed,
                                        classes,
                                        fleet.fullList())
                                .read());
        driver.awaitFirstPoll();
    }

    @Benchmark
    public long takeWhole() {
        return driver.answer(fleet.fullListAtNextVersion());
    }

    @Benchmark
    public long takeChange() {
        return driver.answer(fleet.change());
    }
}
