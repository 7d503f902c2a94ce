// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.run;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.LongFunction;
import ottergauge.lab.net.Loop;
import ottergauge.lab.run.RunException;
import ottergauge.lab.scale.process.Reporter;
import ottergauge.lab.scale.scenario.ScaleScenario;
import ottergauge.lab.scale.scenario.ScaleScenario.Phase;
import ottergauge.lab.scale.scenario.ScaleScenario.PhaseKind;
import ottergauge.lab.scale.statistics.Observations;

/** Applies the changes and faults of a phase at their times. */
final class PhaseRunner {

    private static final double MICROS_PER_SECOND = 1e6;

    private final Loop loop;
    private final Fleet fleet;
    private final ServerList list;
    private final Observations observations;
    private final SplittableRandom random;

    /** Processes that the current phase has killed and that do not run again yet. */
    private final Set<String> downProcesses = ConcurrentHashMap.newKeySet();

    private final Map<String, Long> reachableFrom = new HashMap<>();
    private volatile String failure;
    private long lastId;

    /** The version of the list once discovery has applied all changes that were sent to it. */
    private volatile long expectedVersion;

    PhaseRunner(
            Loop loop,
            Fleet fleet,
            ServerList list,
            Observations observations,
            ScaleScenario scenario,
            long version) {
        this.loop = loop;
        this.fleet = fleet;
        this.list = list;
        this.observations = observations;
        random = new SplittableRandom(~scenario.seed());
        expectedVersion = version;
    }

    /** Returns the version that has to take effect on all nodes. */
    long expectedVersion() {
        return expectedVersion;
    }

    /** Returns the processes that the current phase has killed and that do not run again yet. */
    Set<String> downProcesses() {
        return downProcesses;
    }

    /** Returns, for each node that could not be reached in this phase, when it became reachable. */
    Map<String, Long> reachableFrom() {
        synchronized (reachableFrom) {
            return Map.copyOf(reachableFrom);
        }
    }

    /**
     * Starts a phase: applies its changes and faults at their times, all within the length of the
     * phase. Must be called on the loop.
     */
    void begin(Phase phase) {
        synchronized (reachableFrom) {
            reachableFrom.clear();
        }
        switch (phase.kind()) {
            case REST -> {}
            case CHANGES -> scheduleRandomChanges(phase);
            case RELEASE -> scheduleRelease(phase);
            case RESTART -> restart();
            case ZONE_LOST -> change(now -> list.loseZones(phase.lostFraction()));
            case APART -> cutOff(phase);
            case KILL -> kill(phase);
            case STALL -> stall(phase);
            default -> throw new IllegalArgumentException("unknown kind of phase: " + phase.kind());
        }
    }

    // Only the loop's thread writes the version; other threads read it.
    @SuppressWarnings("NonAtomicVolatileUpdate")
    private void change(LongFunction<ArrayNode> entriesAt) {
        ArrayNode entries = entriesAt.apply(System.currentTimeMillis());
        expectedVersion++;
        fleet.change(++lastId, entries);
    }

    // Schedules changes at independent random times (a Poisson process), but at least one change.
    private void scheduleRandomChanges(Phase phase) {
        List<Long> instants = new ArrayList<>();
        for (double at = nextInterval(phase.rate());
                at < phase.length();
                at += nextInterval(phase.rate())) {
            instants.add((long) at);
        }
        if (instants.isEmpty()) {
            instants.add(random.nextLong(phase.length()));
        }
        long from = loop.now();
        instants.forEach(at -> loop.at(from + at, () -> change(list::randomChange)));
    }

    private double nextInterval(double rate) {
        return -Math.log(1 - random.nextDouble()) / rate * MICROS_PER_SECOND;
    }

    private void scheduleRelease(Phase phase) {
        long from = loop.now();
        long count = Math.max(1, (long) (phase.rate() * phase.length() / MICROS_PER_SECOND));
        for (long i = 0; i < count; i++) {
            loop.at(
                    from + (long) (i / phase.rate() * MICROS_PER_SECOND),
                    () -> change(list::release));
        }
    }

    private void restart() {
        observations.recordRestart(fleet.hollow());
        fleet.restartHollow();
    }

    private void cutOff(Phase phase) {
        List<String> nodes = fleet.nodesOf(phase.regions());
        setReachableFrom(nodes, Long.MAX_VALUE);
        fleet.cut(phase.regions(), true);
        scheduleRandomChanges(phase);
        loop.after(
                phase.length(),
                () -> {
                    fleet.cut(phase.regions(), false);
                    setReachableFrom(nodes, Reporter.wallClockMicros());
                });
    }

    private void setReachableFrom(List<String> nodes, long until) {
        synchronized (reachableFrom) {
            nodes.forEach(each -> reachableFrom.put(each, until));
        }
    }

    // Discovery may have sent the change to none, some or all of the nodes when it is killed. After
    // its restart it knows the change.
    private void kill(Phase phase) {
        downProcesses.add(phase.process());
        change(list::randomChange);
        setReachableFrom(fleet.hollow(), Long.MAX_VALUE);
        setReachableFrom(fleet.real(), Long.MAX_VALUE);
        runInBackground(() -> fleet.kill(phase.process()));
        loop.after(phase.downTime(), this::startDiscovery);
    }

    private void startDiscovery() {
        long version = expectedVersion;
        ArrayNode entries = list.allEntries();
        runInBackground(
                () -> {
                    fleet.startDiscovery(version, entries);
                    long at = Reporter.wallClockMicros();
                    observations.recordChange(version, at);
                    setReachableFrom(fleet.hollow(), at);
                    setReachableFrom(fleet.real(), at);
                    downProcesses.remove("discovery");
                });
    }

    private interface BackgroundTask {
        void run() throws IOException, InterruptedException, RunException;
    }

    // Work that waits for a process runs on its own thread, since the loop has to run its tasks on
    // time.
    private void runInBackground(BackgroundTask task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException | RunException e) {
                                failure = e.toString();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "beside");
        thread.setDaemon(true);
        thread.start();
    }

    /** Returns why the phase cannot be completed, or null while it can. */
    String failure() {
        return failure;
    }

    private void stall(Phase phase) {
        List<String> nodes =
                "discovery".equals(phase.process()) ? List.of() : fleet.hollowOf(phase.process());
        setReachableFrom(nodes, Long.MAX_VALUE);
        fleet.stall(phase.process(), true);
        loop.after(phase.downTime() / 2, () -> change(list::randomChange));
        loop.after(
                phase.downTime(),
                () -> {
                    fleet.stall(phase.process(), false);
                    setReachableFrom(nodes, Reporter.wallClockMicros());
                });
    }

    /** Returns whether the nodes start a phase without any state. */
    static boolean startsWithoutState(Phase phase) {
        return phase.kind() == PhaseKind.RESTART;
    }
}
