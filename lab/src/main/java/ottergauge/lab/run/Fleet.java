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
import ottergauge.lab.client.Clients;
import ottergauge.lab.eventlog.EventLog;
import ottergauge.lab.net.LoopbackAddresses;
import ottergauge.lab.net.Loop;
import ottergauge.lab.node.NodeConfig;
import ottergauge.lab.node.NodeProcess;
import ottergauge.lab.node.Signals;
import ottergauge.lab.scenario.Scenario;

/**
 * The nodes of a play: started, stalled, killed and started again, each under its name and
 * addresses.
 */
final class Fleet implements AutoCloseable {

    // A node's time on its core is given and taken in steps of this length.
    private static final long DUTY = 40_000;

    private final Loop loop;
    private final Scenario scenario;
    private final LoopbackAddresses addresses;
    private final EventLog eventLog;
    private final IntFunction<List<String>> lists;
    private final IntFunction<ObjectNode> extras;
    private final Signals signals;
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final Set<Integer> stalled = new HashSet<>();
    private final Set<Integer> toEnd = new HashSet<>();
    private final double[] cores;
    private final SplittableRandom seeds;
    private Clients clients;
    private boolean closed;

    /**
     * {@code lists} gives the lines of the server list that a node had last, {@code extras} what
     * its configuration has beside the usual.
     */
    Fleet(
            Loop loop,
            Scenario scenario,
            LoopbackAddresses addresses,
            EventLog eventLog,
            String command,
            Path root,
            Path folder,
            IntFunction<List<String>> lists,
            IntFunction<ObjectNode> extras)
            throws IOException {
        this.loop = loop;
        this.scenario = scenario;
        this.addresses = addresses;
        this.eventLog = eventLog;
        this.lists = lists;
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
                            gone -> loop.netty().execute(() -> ended(gone))));
        }
    }

    void clients(Clients those) {
        clients = those;
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
            toEnd.remove(number);
            stalled.remove(number);
            node(number)
                    .start(
                            NodeConfig.of(
                                    scenario,
                                    addresses,
                                    number,
                                    seeds.nextLong(),
                                    lists.apply(number),
                                    extras.apply(number)));
            clients.lives(number, true);
            eventLog.addEvent(loop.now(), "n" + number, "is started");
            if (cores[number] < 1) {
                loop.after(DUTY * number / nodes.size(), () -> duty(number, node(number).starts()));
            }
        } catch (IOException e) {
            throw new IllegalStateException("n" + number + " cannot be started", e);
        }
    }

    /** From now on it has this part of a core. */
    void cores(int number, double part) {
        boolean runs = cores[number] < 1;
        cores[number] = part;
        if (!runs && part < 1) {
            duty(number, node(number).starts());
        }
    }

    // Runs for its part of each step and stands still for the rest of it.
    private void duty(int number, int start) {
        NodeProcess node = node(number);
        if (closed || node.starts() != start || !node.isAlive() || cores[number] >= 1) {
            return;
        }
        if (stalled.contains(number)) {
            loop.after(DUTY, () -> duty(number, start));
            return;
        }
        node.signal("CONT");
        loop.after(
                (long) (DUTY * cores[number]),
                () -> {
                    if (node.starts() == start && !stalled.contains(number) && cores[number] < 1) {
                        node.signal("STOP");
                    }
                });
        loop.after(DUTY, () -> duty(number, start));
    }

    /** Kills it outright and starts it again after a while. */
    void kill(int number, long after) {
        toEnd.add(number);
        clients.lives(number, false);
        node(number).kill();
        eventLog.addEvent(loop.now(), "n" + number, "is killed");
        loop.after(after, () -> startOnceGone(number));
    }

    // The old process has to be gone: its address is the new one's.
    private void startOnceGone(int number) {
        if (node(number).isAlive()) {
            loop.after(5_000, () -> startOnceGone(number));
        } else {
            start(number);
        }
    }

    /** Tells it to end, kills it after the platform's time, and starts it again. */
    void term(int number, long after) {
        toEnd.add(number);
        eventLog.addEvent(loop.now(), "n" + number, "is told to end");
        node(number).signal("TERM");
        long longest =
                scenario.classes().stream()
                        .mapToLong(Scenario.RequestClass::deadline)
                        .max()
                        .orElse(0);
        int start = node(number).starts();
        loop.after(
                longest + 700_000,
                () -> {
                    if (node(number).starts() == start && node(number).isAlive()) {
                        eventLog.addEvent(loop.now(), "n" + number, "is killed: it did not end");
                        clients.lives(number, false);
                        node(number).kill();
                    }
                });
        awaitEnd(number, after);
    }

    private void awaitEnd(int number, long after) {
        if (node(number).isAlive()) {
            loop.after(20_000, () -> awaitEnd(number, after));
        } else {
            loop.after(after, () -> start(number));
        }
    }

    void hangUp(int number) {
        node(number).signal("HUP");
        eventLog.addEvent(loop.now(), "n" + number, "is told to read its configuration");
    }

    void stall(int number) {
        stalled.add(number);
        node(number).signal("STOP");
        eventLog.addEvent(loop.now(), "n" + number, "is stopped");
    }

    void goOn(int number) {
        stalled.remove(number);
        node(number).signal("CONT");
        eventLog.addEvent(loop.now(), "n" + number, "goes on");
    }

    private void ended(NodeProcess node) {
        if (!closed && !toEnd.contains(node.number())) {
            clients.lives(node.number(), false);
            eventLog.addEvent(
                    loop.now(),
                    "n" + node.number(),
                    "crashed with exit code " + node.exitCode() + ": " + node.logEnd());
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
