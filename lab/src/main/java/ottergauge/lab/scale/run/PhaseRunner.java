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
import ottergauge.lab.scale.statistics.Observations;
import ottergauge.lab.scale.process.Reporter;
import ottergauge.lab.scale.scenario.ScaleScenario;
import ottergauge.lab.scale.scenario.ScaleScenario.Phase;
import ottergauge.lab.scale.scenario.ScaleScenario.What;

/** Has the things of a phase happen at their times. */
final class PhaseRunner {

    private static final double MICROS_A_SECOND = 1e6;

    private final Loop loop;
    private final Fleet fleet;
    private final ServerList list;
    private final Observations seen;
    private final SplittableRandom random;

    /** Processes that are meant to be away. */
    private final Set<String> away = ConcurrentHashMap.newKeySet();

    private final Map<String, Long> excusedUntil = new HashMap<>();
    private volatile String failure;
    private long lastId;

    /** The version that the list has once all that was ordered is done. */
    private volatile long expected;

    PhaseRunner(
            Loop loop,
            Fleet fleet,
            ServerList list,
            Observations seen,
            ScaleScenario scenario,
            long version) {
        this.loop = loop;
        this.fleet = fleet;
        this.list = list;
        this.seen = seen;
        random = new SplittableRandom(~scenario.seed());
        expected = version;
    }

    /** The version that all nodes have to come to. */
    long expected() {
        return expected;
    }

    /** The processes that are meant to be away just now. */
    Set<String> away() {
        return away;
    }

    /** For each node that can't be reached in this phase, when it could be again. */
    Map<String, Long> excusedUntil() {
        synchronized (excusedUntil) {
            return Map.copyOf(excusedUntil);
        }
    }

    /** Begins a phase: all that it does is done by its length's end. On the loop. */
    void begin(Phase phase) {
        synchronized (excusedUntil) {
            excusedUntil.clear();
        }
        switch (phase.what()) {
            case REST -> {}
            case CHANGES -> drawn(phase);
            case RELEASE -> paced(phase);
            case RESTART -> restart();
            case ZONE_LOST -> change(now -> list.lose(phase.part()));
            case APART -> apart(phase);
            case KILL -> kill(phase);
            case STALL -> stall(phase);
            default -> throw new IllegalArgumentException("no such phase: " + phase.what());
        }
    }

    // Only the thread that runs the phases writes it; others read.
    @SuppressWarnings("NonAtomicVolatileUpdate")
    private void change(LongFunction<ArrayNode> what) {
        ArrayNode entries = what.apply(System.currentTimeMillis());
        expected++;
        fleet.change(++lastId, entries);
    }

    // At instants drawn by chance, independent of each other; at least one.
    private void drawn(Phase phase) {
        List<Long> instants = new ArrayList<>();
        for (double at = next(phase.rate()); at < phase.length(); at += next(phase.rate())) {
            instants.add((long) at);
        }
        if (instants.isEmpty()) {
            instants.add(random.nextLong(phase.length()));
        }
        long from = loop.now();
        instants.forEach(at -> loop.at(from + at, () -> change(list::draw)));
    }

    private double next(double rate) {
        return -Math.log(1 - random.nextDouble()) / rate * MICROS_A_SECOND;
    }

    private void paced(Phase phase) {
        long from = loop.now();
        long count = Math.max(1, (long) (phase.rate() * phase.length() / MICROS_A_SECOND));
        for (long i = 0; i < count; i++) {
            loop.at(
                    from + (long) (i / phase.rate() * MICROS_A_SECOND),
                    () -> change(list::release));
        }
    }

    private void restart() {
        seen.restarted(fleet.hollow());
        fleet.restartHollow();
    }

    private void apart(Phase phase) {
        List<String> nodes = fleet.nodesOf(phase.regions());
        excuse(nodes, Long.MAX_VALUE);
        fleet.cut(phase.regions(), true);
        drawn(phase);
        loop.after(
                phase.length(),
                () -> {
                    fleet.cut(phase.regions(), false);
                    excuse(nodes, Reporter.wallMicros());
                });
    }

    private void excuse(List<String> nodes, long until) {
        synchronized (excusedUntil) {
            nodes.forEach(each -> excusedUntil.put(each, until));
        }
    }

    // The change that comes with it may be told to none, some or all: once it is back, it knows of
    // it.
    private void kill(Phase phase) {
        away.add(phase.who());
        change(list::draw);
        excuse(fleet.hollow(), Long.MAX_VALUE);
        excuse(fleet.real(), Long.MAX_VALUE);
        beside(() -> fleet.kill(phase.who()));
        loop.after(phase.away(), this::startDiscovery);
    }

    private void startDiscovery() {
        long version = expected;
        ArrayNode entries = list.whole();
        beside(
                () -> {
                    fleet.startDiscovery(version, entries);
                    long at = Reporter.wallMicros();
                    seen.changed(version, at);
                    excuse(fleet.hollow(), at);
                    excuse(fleet.real(), at);
                    away.remove("discovery");
                });
    }

    private interface Waiting {
        void run() throws IOException, InterruptedException, RunException;
    }

    // What waits for a process does so on a thread of its own: the loop has to be in time.
    private void beside(Waiting task) {
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

    /** Why the phase can't be played to its end; null as long as it can. */
    String failure() {
        return failure;
    }

    private void stall(Phase phase) {
        List<String> nodes =
                "discovery".equals(phase.who()) ? List.of() : fleet.hollowOf(phase.who());
        excuse(nodes, Long.MAX_VALUE);
        fleet.stall(phase.who(), true);
        loop.after(phase.away() / 2, () -> change(list::draw));
        loop.after(
                phase.away(),
                () -> {
                    fleet.stall(phase.who(), false);
                    excuse(nodes, Reporter.wallMicros());
                });
    }

    /** Whether a phase's nodes begin without any state. */
    static boolean beginsAnew(Phase phase) {
        return phase.what() == What.RESTART;
    }
}
