// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.run;

import java.io.IOException;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import ottergauge.lab.net.Loop;
import ottergauge.lab.net.LoopbackAddresses;
import ottergauge.lab.run.RunException;
import ottergauge.lab.scale.process.LatenessSampler;
import ottergauge.lab.scale.process.Reporter;
import ottergauge.lab.scale.scenario.ScaleScenario;
import ottergauge.lab.scale.scenario.ScaleScenario.Phase;
import ottergauge.lab.scale.scenario.ScaleScenario.PhaseKind;
import ottergauge.lab.scale.statistics.Observations;
import ottergauge.lab.scale.statistics.PhaseStatistics;
import ottergauge.lab.scale.statistics.PhaseWindow;

/** Runs a scale test from start to end, phase by phase, and leaves no process running. */
public final class ScaleRun {

    private static final long FIRST_VERSION = 1_000;
    private static final long CHECK_INTERVAL_MS = 50;
    private static final long USAGE_INTERVAL = 500_000;
    // Processes report their counts every half second or every second. The test waits for this
    // time, in microseconds, after a phase, so that all counts of the phase are reported.
    private static final long REPORT_DELAY = 1_500_000;
    private static final long DIGEST_TIMEOUT = 30_000_000;
    // A test whose processes use more resident memory than this, in bytes, is aborted. The limit is
    // half the memory of the machine for which the scale tests were written.
    private static final long MAX_MEMORY = 11L << 30;

    private final ScaleScenario scenario;
    private final Path root;
    private final String run;
    private final Path folder;
    private final Observations observations = new Observations();
    private long usageRecordedAt;

    /**
     * {@code root} is the folder of the program under test, {@code run} the command line that
     * starts a real node, and {@code folder} the place for configurations and logs.
     */
    public ScaleRun(ScaleScenario scenario, Path root, String run, Path folder) {
        this.scenario = scenario;
        this.root = root;
        this.run = run;
        this.folder = folder;
    }

    /**
     * Runs the test and returns the statistics of each phase. The first phase is the start of all
     * nodes.
     */
    public List<PhaseStatistics> run() throws IOException, InterruptedException, RunException {
        try (ServerSocket lock = LoopbackAddresses.reserve();
                Loop loop = new Loop();
                Fleet fleet =
                        new Fleet(
                                scenario,
                                new Fleet.Program(root, run),
                                folder,
                                new ScaleAddresses(LoopbackAddresses.of(lock)),
                                observations)) {
            ServerList list = new ServerList(scenario);
            PhaseRunner runner =
                    new PhaseRunner(loop, fleet, list, observations, scenario, FIRST_VERSION);
            onLoop(loop, loop::begin);
            fleet.startDiscovery(FIRST_VERSION, list.allEntries());
            fleet.startLinks();
            observations.recordChange(FIRST_VERSION, Reporter.wallClockMicros());
            onLoop(loop, () -> recordLateness(loop, LatenessSampler.start(loop)));
            List<PhaseStatistics> statistics = new ArrayList<>();
            statistics.add(start(fleet, list, runner));
            for (Phase phase : scenario.phases()) {
                statistics.add(runPhase(loop, fleet, list, runner, phase));
            }
            return statistics;
        }
    }

    private static void onLoop(Loop loop, Runnable task) throws InterruptedException, RunException {
        try {
            loop.netty().submit(task).get();
        } catch (ExecutionException e) {
            throw new RunException("a task of the laboratory failed: " + e.getCause());
        }
    }

    // Records the lateness of this process's loop, which schedules changes and faults.
    private void recordLateness(Loop loop, LatenessSampler sampler) {
        loop.after(
                USAGE_INTERVAL,
                () -> {
                    LatenessSampler.Lateness lateness = sampler.readAndReset();
                    observations.recordLateness(
                            Observations.RIG,
                            lateness.samples(),
                            lateness.late(),
                            Reporter.wallClockMicros());
                    recordLateness(loop, sampler);
                });
    }

    private PhaseStatistics start(Fleet fleet, ServerList list, PhaseRunner runner)
            throws IOException, InterruptedException, RunException {
        long from = Reporter.wallClockMicros();
        Phase phase =
                new Phase(
                        "start",
                        PhaseKind.RESTART,
                        scenario.nodes().startPeriod(),
                        0,
                        1,
                        0,
                        List.of(),
                        "",
                        0);
        fleet.startNodes(runner.expectedVersion(), list.allEntries());
        return finishPhase(fleet, list, runner, phase, from);
    }

    private PhaseStatistics runPhase(
            Loop loop, Fleet fleet, ServerList list, PhaseRunner runner, Phase phase)
            throws InterruptedException, RunException {
        long from = Reporter.wallClockMicros();
        onLoop(loop, () -> runner.begin(phase));
        await(fleet, runner, from + phase.length(), () -> false);
        return finishPhase(fleet, list, runner, phase, from);
    }

    // Waits until the newest version is in effect on all nodes, or until the settle timeout has
    // passed, and returns the statistics of the phase.
    private PhaseStatistics finishPhase(
            Fleet fleet, ServerList list, PhaseRunner runner, Phase phase, long from)
            throws InterruptedException, RunException {
        long deadline =
                Reporter.wallClockMicros()
                        + phase.length() * (phase.kind() == PhaseKind.RESTART ? 1 : 0)
                        + scenario.settleTimeout();
        await(
                fleet,
                runner,
                deadline,
                () ->
                        runner.downProcesses().isEmpty()
                                && allReached(fleet, runner.expectedVersion()));
        long until = Reporter.wallClockMicros();
        observations.clearDigests();
        await(fleet, runner, until + REPORT_DELAY, () -> false);
        fleet.requestDigests();
        await(
                fleet,
                runner,
                Reporter.wallClockMicros() + DIGEST_TIMEOUT,
                () -> observations.countDigests(fleet.hollow()) == fleet.hollow().size());
        Map<String, Long> reachableFrom = runner.reachableFrom();
        return observations.statistics(
                new PhaseWindow(
                        phase,
                        from,
                        until,
                        fleet.hollow(),
                        fleet.real(),
                        PhaseRunner.startsWithoutState(phase),
                        reachableFrom,
                        list.digest()));
    }

    private boolean allReached(Fleet fleet, long version) {
        return observations.newestVersion() >= version
                && observations.countReached(fleet.hollow(), version) == fleet.hollow().size()
                && observations.countReached(fleet.real(), version) == fleet.real().size();
    }

    // Waits for the condition or the time {@code until}. Throws an exception if a process ends
    // unexpectedly or the processes use too much memory.
    private void await(Fleet fleet, PhaseRunner runner, long until, BooleanSupplier condition)
            throws InterruptedException, RunException {
        while (Reporter.wallClockMicros() < until && !condition.getAsBoolean()) {
            String exited = fleet.describeExited(runner.downProcesses());
            if (exited != null || runner.failure() != null) {
                throw new RunException(exited != null ? exited : runner.failure());
            }
            if (Reporter.wallClockMicros() - usageRecordedAt >= USAGE_INTERVAL) {
                usageRecordedAt = Reporter.wallClockMicros();
                long resident = fleet.recordUsage();
                if (resident > MAX_MEMORY) {
                    throw new RunException(
                            "the scale test uses "
                                    + (resident >> 20)
                                    + " MB of memory, more than the "
                                    + (MAX_MEMORY >> 20)
                                    + " MB that it may use");
                }
            }
            TimeUnit.MILLISECONDS.sleep(CHECK_INTERVAL_MS);
        }
    }
}
