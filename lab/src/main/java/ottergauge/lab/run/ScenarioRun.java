// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.run;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.management.OperatingSystemMXBean;
import java.io.IOException;
import java.lang.management.ManagementFactory;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.IntFunction;
import ottergauge.lab.client.LoadGenerator;
import ottergauge.lab.client.Workload;
import ottergauge.lab.eventlog.EventLog;
import ottergauge.lab.net.Link;
import ottergauge.lab.net.Links;
import ottergauge.lab.net.Loop;
import ottergauge.lab.net.LoopbackAddresses;
import ottergauge.lab.node.NodeProcess;
import ottergauge.lab.scenario.Scenario;

/**
 * Runs a scenario with real nodes: starts everything, applies load and faults, and leaves no
 * process, port or thread behind.
 */
public final class ScenarioRun {

    /**
     * How the nodes are started: a shell command, the folder in which it runs, and additional
     * configuration.
     */
    public record Program(String command, Path root, IntFunction<ObjectNode> extras) {
        public Program(String command, Path root) {
            this(command, root, node -> null);
        }
    }

    /**
     * The result of a run: the event log, how late the laboratory's own tasks ran (microseconds),
     * the CPU cores that the laboratory and the nodes used, and for each node the lines of its logs
     * that contain "level".
     */
    public record RunResult(
            Scenario scenario,
            EventLog eventLog,
            long lateP99,
            long lateMax,
            double rigCores,
            double nodeCores,
            List<List<String>> levels) {}

    private static final long READY_TIMEOUT_S = 60;
    private static final long READY_CHECK_INTERVAL = 20_000;
    // The run goes on for this long, in microseconds, after the deadline of the last request, so
    // that late responses are recorded.
    private static final long LATE_RESPONSE_TIME = 1_700_000;

    private final Scenario scenario;
    private final Program program;
    private final Path folder;
    private final EventLog eventLog = new EventLog();

    /** {@code folder} is where the nodes' configurations and logs are kept. */
    public ScenarioRun(Scenario scenario, Program program, Path folder) {
        this.scenario = scenario;
        this.program = program;
        this.folder = folder;
    }

    /** Runs the scenario; no process, port or thread is left behind, however the run ends. */
    public RunResult run() throws RunException, IOException, InterruptedException {
        try (ServerSocket lock = LoopbackAddresses.reserve();
                Loop loop = new Loop()) {
            return run(loop, LoopbackAddresses.of(lock));
        }
    }

    private RunResult run(Loop loop, LoopbackAddresses addresses)
            throws RunException, IOException, InterruptedException {
        Links links = new Links(scenario.seed());
        Servers servers = new Servers(loop, scenario, addresses, links, eventLog);
        List<InetSocketAddress> nodes = new ArrayList<>();
        List<Link> toNodes = new ArrayList<>();
        for (int node = 1; node <= scenario.nodes().count(); node++) {
            nodes.add(addresses.node(node));
            toNodes.add(links.add("clients", "n" + node, 0, 0));
        }
        LoadGenerator loadGenerator = new LoadGenerator(loop, scenario, eventLog, nodes, toNodes);
        Fleet fleet =
                new Fleet(
                        loop,
                        scenario,
                        addresses,
                        eventLog,
                        program.command(),
                        program.root(),
                        folder,
                        servers::instanceList,
                        program.extras());
        fleet.loadGenerator(loadGenerator);
        Thread killOnShutdown =
                new Thread(() -> fleet.nodes().forEach(NodeProcess::kill), "interrupted");
        Runtime.getRuntime().addShutdownHook(killOnShutdown);
        try (fleet) {
            onLoop(
                    loop,
                    () -> {
                        for (int node = 1; node <= scenario.nodes().count(); node++) {
                            fleet.start(node);
                        }
                        loadGenerator.checkReadiness();
                    });
            awaitReady(loop, fleet, loadGenerator);
            long rigCpu = rigCpu();
            long nodeCpu = fleet.cpuMicros();
            long from = System.nanoTime();
            CompletableFuture<Void> finished = new CompletableFuture<>();
            onLoop(
                    loop,
                    () -> {
                        loop.begin();
                        eventLog.events.clear();
                        eventLog.costs.clear();
                        loadGenerator.begin(Workload.draw(scenario));
                        new FaultSchedule(loop, scenario, fleet, servers, links, eventLog).begin();
                        long maxDeadline =
                                scenario.classes().stream()
                                        .mapToLong(Scenario.RequestClass::deadline)
                                        .max()
                                        .orElse(0);
                        loop.at(
                                scenario.length() + maxDeadline + LATE_RESPONSE_TIME,
                                () -> finished.complete(null));
                    });
            await(finished, scenario.length() / 1_000_000 + 60);
            double seconds = (System.nanoTime() - from) / 1e9;
            double rigCores = (rigCpu() - rigCpu) / 1e6 / seconds;
            double nodeCores = (fleet.cpuMicros() - nodeCpu) / 1e6 / seconds;
            onLoop(
                    loop,
                    () -> {
                        loadGenerator.end();
                        servers.end();
                    });
            List<List<String>> levels = new ArrayList<>();
            for (NodeProcess node : fleet.nodes()) {
                levels.add(node.logLines("level"));
            }
            return new RunResult(
                    scenario,
                    eventLog,
                    loop.lateness().getValueAtPercentile(99),
                    loop.lateness().getMaxValue(),
                    rigCores,
                    nodeCores,
                    levels);
        } finally {
            Runtime.getRuntime().removeShutdownHook(killOnShutdown);
        }
    }

    private static long rigCpu() {
        return ManagementFactory.getOperatingSystemMXBean() instanceof OperatingSystemMXBean system
                ? system.getProcessCpuTime() / 1_000
                : 0;
    }

    private static void onLoop(Loop loop, Runnable task) throws InterruptedException, RunException {
        try {
            loop.netty().submit(task).get();
        } catch (ExecutionException e) {
            throw new RunException("a task of the laboratory failed: " + e.getCause());
        }
    }

    private static void await(CompletableFuture<Void> finished, long seconds)
            throws InterruptedException, RunException {
        try {
            finished.get(seconds, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            throw new RunException(e.getCause().getMessage());
        } catch (TimeoutException e) {
            throw new RunException("the run did not finish within " + seconds + " s");
        }
    }

    // The checks run on the loop, since the state of the front end may be read on its thread only.
    private void awaitReady(Loop loop, Fleet fleet, LoadGenerator loadGenerator)
            throws InterruptedException, RunException {
        CompletableFuture<Void> ready = new CompletableFuture<>();
        long until = System.nanoTime() + TimeUnit.SECONDS.toNanos(READY_TIMEOUT_S);
        loop.netty().execute(() -> checkReadiness(loop, fleet, loadGenerator, until, ready));
        await(ready, READY_TIMEOUT_S + 5);
    }

    private void checkReadiness(
            Loop loop,
            Fleet fleet,
            LoadGenerator loadGenerator,
            long until,
            CompletableFuture<Void> ready) {
        NodeProcess exitedNode =
                fleet.nodes().stream().filter(node -> !node.isAlive()).findFirst().orElse(null);
        if (exitedNode != null) {
            ready.completeExceptionally(
                    new RunException(
                            "n"
                                    + exitedNode.number()
                                    + " ended before it was ready; the end of its log:\n"
                                    + exitedNode.logTail()));
        } else if (loadGenerator.allReady()) {
            ready.complete(null);
        } else if (System.nanoTime() > until) {
            StringBuilder text =
                    new StringBuilder("nodes are not ready after " + READY_TIMEOUT_S + " s");
            fleet.nodes()
                    .forEach(
                            node ->
                                    text.append("\nn")
                                            .append(node.number())
                                            .append("; the end of its log:\n")
                                            .append(node.logTail()));
            ready.completeExceptionally(new RunException(text.toString()));
        } else {
            loop.after(
                    READY_CHECK_INTERVAL,
                    () -> checkReadiness(loop, fleet, loadGenerator, until, ready));
        }
    }
}
