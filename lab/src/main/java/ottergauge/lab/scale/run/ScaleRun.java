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
import ottergauge.lab.scale.statistics.Observations;
import ottergauge.lab.scale.statistics.PhaseStatistics;
import ottergauge.lab.scale.statistics.PhaseWindow;
import ottergauge.lab.scale.process.LatenessSampler;
import ottergauge.lab.scale.process.Reporter;
import ottergauge.lab.scale.scenario.ScaleScenario;
import ottergauge.lab.scale.scenario.ScaleScenario.Phase;
import ottergauge.lab.scale.scenario.ScaleScenario.What;

/** Plays a scale test from beginning to end, phase by phase, and leaves nothing running. */
public final class ScaleRun {

    private static final long FIRST_VERSION = 1_000;
    private static final long LOOK_EVERY_MS = 50;
    private static final long USE_EVERY = 500_000;
    // Processes tell what they count each half second or second.
    private static final long TOLD_AFTER = 1_500_000;
    private static final long DIGESTS_WITHIN = 30_000_000;
    // Half of the machine that it was made for, and never more than this.
    private static final long MOST_MEMORY = 11L << 30;

    private final ScaleScenario scenario;
    private final Path root;
    private final String run;
    private final Path folder;
    private final Observations seen = new Observations();
    private long lookedAt;

    /**
     * {@code root} is the folder of the program under test, {@code run} the line that starts a real
     * node, and {@code folder} keeps configurations and logs.
     */
    public ScaleRun(ScaleScenario scenario, Path root, String run, Path folder) {
        this.scenario = scenario;
        this.root = root;
        this.run = run;
        this.folder = folder;
    }

    /**
     * Plays it, and gives back the figures of each phase; the first one is the start of all nodes.
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
                                seen)) {
            ServerList list = new ServerList(scenario);
            PhaseRunner player = new PhaseRunner(loop, fleet, list, seen, scenario, FIRST_VERSION);
            onLoop(loop, loop::begin);
            fleet.startDiscovery(FIRST_VERSION, list.whole());
            fleet.startLinks();
            seen.changed(FIRST_VERSION, Reporter.wallMicros());
            onLoop(loop, () -> watchRig(loop, LatenessSampler.begin(loop)));
            List<PhaseStatistics> figures = new ArrayList<>();
            figures.add(start(fleet, list, player));
            for (Phase phase : scenario.phases()) {
                figures.add(play(loop, fleet, list, player, phase));
            }
            return figures;
        }
    }

    private static void onLoop(Loop loop, Runnable task) throws InterruptedException, RunException {
        try {
            loop.netty().submit(task).get();
        } catch (ExecutionException e) {
            throw new RunException("the rig failed: " + e.getCause());
        }
    }

    // The rig's own loop, on which things happen at their times.
    private void watchRig(Loop loop, LatenessSampler looks) {
        loop.after(
                USE_EVERY,
                () -> {
                    LatenessSampler.Lateness lateness = looks.take();
                    seen.lateness(
                            Observations.RIG,
                            lateness.looks(),
                            lateness.late(),
                            Reporter.wallMicros());
                    watchRig(loop, looks);
                });
    }

    private PhaseStatistics start(Fleet fleet, ServerList list, PhaseRunner player)
            throws IOException, InterruptedException, RunException {
        long from = Reporter.wallMicros();
        Phase phase =
                new Phase(
                        "start",
                        What.RESTART,
                        scenario.nodes().startOver(),
                        0,
                        1,
                        0,
                        List.of(),
                        "",
                        0);
        fleet.startNodes(player.expected(), list.whole());
        return end(fleet, list, player, phase, from);
    }

    private PhaseStatistics play(
            Loop loop, Fleet fleet, ServerList list, PhaseRunner player, Phase phase)
            throws InterruptedException, RunException {
        long from = Reporter.wallMicros();
        onLoop(loop, () -> player.begin(phase));
        await(fleet, player, from + phase.length(), () -> false);
        return end(fleet, list, player, phase, from);
    }

    // Waits until all go by the newest version, or until the time for that is over.
    private PhaseStatistics end(
            Fleet fleet, ServerList list, PhaseRunner player, Phase phase, long from)
            throws InterruptedException, RunException {
        long most =
                Reporter.wallMicros()
                        + phase.length() * (phase.what() == What.RESTART ? 1 : 0)
                        + scenario.settle();
        await(
                fleet,
                player,
                most,
                () -> player.away().isEmpty() && allReached(fleet, player.expected()));
        long until = Reporter.wallMicros();
        seen.forgetDigests();
        await(fleet, player, until + TOLD_AFTER, () -> false);
        fleet.askServers();
        await(
                fleet,
                player,
                Reporter.wallMicros() + DIGESTS_WITHIN,
                () -> seen.digests(fleet.hollow()) == fleet.hollow().size());
        Map<String, Long> excused = player.excusedUntil();
        return seen.figures(
                new PhaseWindow(
                        phase,
                        from,
                        until,
                        fleet.hollow(),
                        fleet.real(),
                        PhaseRunner.beginsAnew(phase),
                        excused,
                        list.digest()));
    }

    private boolean allReached(Fleet fleet, long version) {
        return seen.newestVersion() >= version
                && seen.reached(fleet.hollow(), version) == fleet.hollow().size()
                && seen.reached(fleet.real(), version) == fleet.real().size();
    }

    // Looks after the processes meanwhile.
    private void await(Fleet fleet, PhaseRunner player, long until, BooleanSupplier over)
            throws InterruptedException, RunException {
        while (Reporter.wallMicros() < until && !over.getAsBoolean()) {
            String ended = fleet.ended(player.away());
            if (ended != null || player.failure() != null) {
                throw new RunException(ended != null ? ended : player.failure());
            }
            if (Reporter.wallMicros() - lookedAt >= USE_EVERY) {
                lookedAt = Reporter.wallMicros();
                long resident = fleet.look();
                if (resident > MOST_MEMORY) {
                    throw new RunException(
                            "the play takes "
                                    + (resident >> 20)
                                    + " MB of memory, over the "
                                    + (MOST_MEMORY >> 20)
                                    + " MB that it may have");
                }
            }
            TimeUnit.MILLISECONDS.sleep(LOOK_EVERY_MS);
        }
    }
}
