// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.run;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.IntFunction;
import ottergauge.lab.client.LoadGenerator;
import ottergauge.lab.eventlog.EventLog;
import ottergauge.lab.net.Loop;
import ottergauge.lab.net.LoopbackAddresses;
import ottergauge.lab.node.NodeConfig;
import ottergauge.lab.node.NodeProcess;
import ottergauge.lab.node.Signals;
import ottergauge.lab.scenario.Scenario;

/**
 * The nodes of a run. Starts, stalls, kills and restarts them. A restarted node keeps its name and
 * addresses.
 */
final class Fleet implements AutoCloseable {

    // The length, in microseconds, of the periods in which a node with a CPU limit is stopped and
    // continued.
    private static final long DUTY_PERIOD = 40_000;

    private final Loop loop;
    private final Scenario scenario;
    private final LoopbackAddresses addresses;
    private final EventLog eventLog;
    private final IntFunction<List<String>> knownInstances;
    private final IntFunction<ObjectNode> extras;
    private final Signals signals;
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final Set<Integer> stalled = new HashSet<>();
    private final Set<Integer> expectedExits = new HashSet<>();
    private final double[] cores;
    private final SplittableRandom seeds;
    private LoadGenerator loadGenerator;
    private boolean closed;

    /**
     * {@code knownInstances} returns the entries of the endpoint list with which a node starts;
     * {@code extras} returns additional configuration. Both take the number of the node.
     */
    Fleet(
            Loop loop,
            Scenario scenario,
            LoopbackAddresses addresses,
            EventLog eventLog,
            String command,
            Path root,
            Path folder,
            IntFunction<List<String>> knownInstances,
            IntFunction<ObjectNode> extras)
            throws IOException {
        this.loop = loop;
        this.scenario = scenario;
        this.addresses = addresses;
        this.eventLog = eventLog;
        this.knownInstances = knownInstances;
        this.extras = extras;
        signals = new Signals();
        seeds = new SplittableRandom(scenario.seed() + 2);
        cores = new double[scenario.nodes().count() + 1];
        for (int n = 1; n <= scenario.nodes().count(); n++) {
            cores[n] = scenario.nodes().cores();
            nodes.add(
                    new NodeProcess(
                            n,
                            command,
                            root,
                            folder.resolve("n" + n),
                            signals,
                            exited -> loop.netty().execute(() -> handleExit(exited))));
        }
    }

    void loadGenerator(LoadGenerator generator) {
        loadGenerator = generator;
    }

    List<NodeProcess> nodes() {
        return nodes;
    }

    NodeProcess node(int number) {
        return nodes.get(number - 1);
    }

    void start(int number) {
        if (closed) {
            return;
        }
        try {
            expectedExits.remove(number);
            stalled.remove(number);
            node(number)
                    .start(
                            NodeConfig.of(
                                    scenario,
                                    addresses,
                                    number,
                                    seeds.nextLong(),
                                    knownInstances.apply(number),
                                    extras.apply(number)));
            loadGenerator.setAlive(number, true);
            eventLog.addEvent(loop.now(), "n" + number, "is started");
            if (cores[number] < 1) {
                loop.after(
                        DUTY_PERIOD * number / nodes.size(),
                        () -> runDutyCycle(number, node(number).startCount()));
            }
        } catch (IOException e) {
            throw new IllegalStateException("n" + number + " cannot be started", e);
        }
    }

    /** Limits a node to this fraction of a core from now on. */
    void cores(int number, double fraction) {
        boolean alreadyThrottled = cores[number] < 1;
        cores[number] = fraction;
        if (!alreadyThrottled && fraction < 1) {
            runDutyCycle(number, node(number).startCount());
        }
    }

    // Lets the node run for its fraction of each period and stops it for the rest.
    private void runDutyCycle(int number, int start) {
        NodeProcess node = node(number);
        if (closed || node.startCount() != start || !node.isAlive() || cores[number] >= 1) {
            return;
        }
        if (stalled.contains(number)) {
            loop.after(DUTY_PERIOD, () -> runDutyCycle(number, start));
            return;
        }
        node.signal("CONT");
        loop.after(
                (long) (DUTY_PERIOD * cores[number]),
                () -> {
                    if (node.startCount() == start
                            && !stalled.contains(number)
                            && cores[number] < 1) {
                        node.signal("STOP");
                    }
                });
        loop.after(DUTY_PERIOD, () -> runDutyCycle(number, start));
    }

    /** Kills a node with SIGKILL and starts it again {@code after} microseconds later. */
    void kill(int number, long after) {
        expectedExits.add(number);
        loadGenerator.setAlive(number, false);
        node(number).kill();
        eventLog.addEvent(loop.now(), "n" + number, "is killed");
        loop.after(after, () -> startAfterExit(number));
    }

    // The old process must have ended, since the new one listens on the same address.
    private void startAfterExit(int number) {
        if (node(number).isAlive()) {
            loop.after(5_000, () -> startAfterExit(number));
        } else {
            start(number);
        }
    }

    /**
     * Sends SIGTERM, kills the node if it has not ended 700 ms after the longest deadline of all
     * request classes, and starts it again {@code after} microseconds after its end.
     */
    void terminate(int number, long after) {
        expectedExits.add(number);
        eventLog.addEvent(loop.now(), "n" + number, "gets SIGTERM");
        node(number).signal("TERM");
        long maxDeadline =
                scenario.classes().stream()
                        .mapToLong(Scenario.RequestClass::deadline)
                        .max()
                        .orElse(0);
        int start = node(number).startCount();
        loop.after(
                maxDeadline + 700_000,
                () -> {
                    if (node(number).startCount() == start && node(number).isAlive()) {
                        eventLog.addEvent(
                                loop.now(), "n" + number, "is killed: it did not exit in time");
                        loadGenerator.setAlive(number, false);
                        node(number).kill();
                    }
                });
        restartAfterExit(number, after);
    }

    private void restartAfterExit(int number, long after) {
        if (node(number).isAlive()) {
            loop.after(20_000, () -> restartAfterExit(number, after));
        } else {
            loop.after(after, () -> start(number));
        }
    }

    void reload(int number) {
        node(number).signal("HUP");
        eventLog.addEvent(loop.now(), "n" + number, "gets SIGHUP to reload its configuration");
    }

    void stall(int number) {
        stalled.add(number);
        node(number).signal("STOP");
        eventLog.addEvent(loop.now(), "n" + number, "is stopped");
    }

    void resume(int number) {
        stalled.remove(number);
        node(number).signal("CONT");
        eventLog.addEvent(loop.now(), "n" + number, "continues");
    }

    private void handleExit(NodeProcess node) {
        if (!closed && !expectedExits.contains(node.number())) {
            loadGenerator.setAlive(node.number(), false);
            eventLog.addEvent(
                    loop.now(),
                    "n" + node.number(),
                    "crashed with exit code " + node.exitCode() + ": " + node.logTail());
        }
    }

    long cpuMicros() {
        return nodes.stream().mapToLong(NodeProcess::cpuMicros).sum();
    }

    @Override
    public void close() throws IOException {
        closed = true;
        nodes.forEach(NodeProcess::kill);
        try {
            for (NodeProcess node : nodes) {
                node.await();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        signals.close();
    }
}
