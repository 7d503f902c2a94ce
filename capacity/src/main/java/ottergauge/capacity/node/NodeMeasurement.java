// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.node;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import ottergauge.capacity.load.Latencies;
import ottergauge.capacity.load.OpenLoopClient;
import ottergauge.capacity.load.Pacer;
import ottergauge.capacity.node.NodeResults.Applied;
import ottergauge.capacity.node.NodeResults.Changes;
import ottergauge.capacity.node.NodeResults.DiscoveryStart;
import ottergauge.capacity.node.NodeResults.Idle;
import ottergauge.capacity.node.NodeResults.Load;
import ottergauge.capacity.node.NodeResults.LoadSlice;
import ottergauge.capacity.node.NodeResults.NotApplied;
import ottergauge.capacity.node.NodeResults.Start;
import ottergauge.capacity.standin.DiscoveryStandIn;
import ottergauge.capacity.standin.ServerStandIn;
import ottergauge.capacity.standin.Traffic;
import ottergauge.capacity.workload.Fleet;
import ottergauge.capacity.workload.NodeConfiguration;

/**
 * Starts node processes against stand-ins for discovery and servers, and measures them one after
 * the other.
 */
public final class NodeMeasurement implements AutoCloseable {

    /** The number and length of the parts of a run. */
    public record RunSettings(
            int starts,
            int settleMs,
            int idleSeconds,
            int changeSlices,
            int changeSliceSeconds,
            int warmUpRequests,
            int loadSlices,
            int loadSliceSeconds,
            int discoveryTimeoutMs) {}

    /** Rate of endpoint list changes while their cost is measured. */
    public static final int CHANGES_PER_SECOND = 50;

    /** Request rate through the node; the direct requests have the same rate. */
    public static final int REQUESTS_PER_SECOND = 62;

    private static final int WARM_UP_REQUESTS_PER_SECOND = 200;
    private static final long RESPONSE_TIMEOUT_MS = 2_000;
    private static final int EVENT_LOOPS = 3;
    private static final long POLL_INTERVAL_MS = 2;
    private static final double NANOS_PER_MILLI = 1e6;
    private static final double MILLIS_PER_SECOND = 1e3;

    private final RunLine run;
    private final Path root;
    private final long seed;
    private final int classes;
    private final RunSettings runSettings;
    private final EventLoopGroup eventLoops =
            new MultiThreadIoEventLoopGroup(EVENT_LOOPS, NioIoHandler.newFactory());

    /** Measures the program in this folder, started with this command. */
    public NodeMeasurement(
            RunLine run, Path root, long seed, int classes, RunSettings runSettings) {
        this.run = run;
        this.root = root;
        this.seed = seed;
        this.classes = classes;
        this.runSettings = runSettings;
    }

    /** Takes all measurements with endpoint lists of this size. */
    public NodeResults measure(int servers) throws IOException, InterruptedException {
        try (ServerStandIn server = new ServerStandIn(eventLoops.next())) {
            Fleet fleet = Fleet.generate(servers, seed, server.address());
            DiscoveryStart discoveryStart;
            try (DiscoveryStandIn discovery = new DiscoveryStandIn(eventLoops.next(), fleet)) {
                discoveryStart = startWithoutList(discovery);
            }
            List<Start> starts = new ArrayList<>();
            for (int start = 1; start < runSettings.starts(); start++) {
                starts.add(measureStart(fleet));
            }
            try (DiscoveryStandIn discovery = new DiscoveryStandIn(eventLoops.next(), fleet)) {
                return measureRunning(fleet, discovery, server, discoveryStart, starts);
            }
        }
    }

    private NodeResults measureRunning(
            Fleet fleet,
            DiscoveryStandIn discovery,
            ServerStandIn server,
            DiscoveryStart discoveryStart,
            List<Start> starts)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("capacity");
        try (NodeProcess node = start(folder, configuration(discovery, fleet))) {
            starts.add(awaitStart(node));
            Idle idle = idle(node, discovery);
            Changes changes = change(node, discovery);
            Load load = load(node, server, idle.cpu());
            return new NodeResults(
                    starts, discoveryStart, idle, changes, load, node.peakResidentBytes());
        } finally {
            delete(folder);
        }
    }

    private Start measureStart(Fleet fleet) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("capacity");
        try (DiscoveryStandIn discovery = new DiscoveryStandIn(eventLoops.next(), fleet);
                NodeProcess node = start(folder, configuration(discovery, fleet))) {
            return awaitStart(node);
        } finally {
            delete(folder);
        }
    }

    private Start awaitStart(NodeProcess node) throws IOException, InterruptedException {
        Duration ready = node.awaitReady();
        Duration cpu = node.cpu();
        TimeUnit.MILLISECONDS.sleep(runSettings.settleMs());
        return new Start(ready.toNanos() / NANOS_PER_MILLI, cpu.toMillis(), node.residentBytes());
    }

    private DiscoveryStart startWithoutList(DiscoveryStandIn discovery)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("capacity");
        NodeConfiguration configuration =
                new NodeConfiguration(
                        NodeProcess.freeAddress(),
                        discovery.address(),
                        seed,
                        classes,
                        Fleet.emptyList());
        try (NodeProcess node = start(folder, configuration)) {
            long startedAt = System.nanoTime();
            node.awaitReady();
            long deadline =
                    System.nanoTime()
                            + TimeUnit.MILLISECONDS.toNanos(runSettings.discoveryTimeoutMs());
            while (discovery.lastPolledVersion() < discovery.version()) {
                if (System.nanoTime() > deadline) {
                    return notApplied(discovery);
                }
                TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
            }
            double elapsedMs = (System.nanoTime() - startedAt) / NANOS_PER_MILLI;
            TimeUnit.MILLISECONDS.sleep(runSettings.settleMs());
            return new Applied(elapsedMs, node.residentBytes());
        } finally {
            delete(folder);
        }
    }

    private NotApplied notApplied(DiscoveryStandIn discovery) {
        Traffic observed = discovery.traffic();
        return new NotApplied(
                "not taken in %.1f s: %d calls, %,d bytes"
                        .formatted(
                                runSettings.discoveryTimeoutMs() / MILLIS_PER_SECOND,
                                observed.calls(),
                                observed.bytes()));
    }

    private Idle idle(NodeProcess node, DiscoveryStandIn discovery)
            throws IOException, InterruptedException {
        Traffic before = discovery.traffic();
        Duration cpuBefore = node.cpu();
        TimeUnit.SECONDS.sleep(runSettings.idleSeconds());
        Traffic observed = discovery.traffic().since(before);
        double seconds = runSettings.idleSeconds();
        return new Idle(
                node.cpu().minus(cpuBefore).toMillis() / MILLIS_PER_SECOND / seconds,
                observed.calls() / seconds,
                observed.bytes() / seconds);
    }

    private Changes change(NodeProcess node, DiscoveryStandIn discovery)
            throws IOException, InterruptedException {
        Traffic before = discovery.traffic();
        double[] cpu = new double[runSettings.changeSlices()];
        int changeCount = 0;
        for (int slice = 0; slice < cpu.length; slice++) {
            Duration cpuBefore = node.cpu();
            changeCount += discovery.change(CHANGES_PER_SECOND, runSettings.changeSliceSeconds());
            cpu[slice] =
                    node.cpu().minus(cpuBefore).toMillis()
                            / MILLIS_PER_SECOND
                            / runSettings.changeSliceSeconds();
        }
        long deadline =
                System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(runSettings.discoveryTimeoutMs());
        while (discovery.lastPolledVersion() < discovery.version()
                && System.nanoTime() < deadline) {
            TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MS);
        }
        Traffic observed = discovery.traffic().since(before);
        return new Changes(
                cpu,
                observed.calls() / (double) changeCount,
                observed.bytes() / (double) changeCount,
                discovery.lastPolledVersion() == discovery.version());
    }

    private Load load(NodeProcess node, ServerStandIn server, double idleCpu)
            throws IOException, InterruptedException {
        List<LoadSlice> slices = new ArrayList<>();
        try (OpenLoopClient viaNode =
                        new OpenLoopClient(eventLoops.next(), node.address(), classes, "through");
                OpenLoopClient direct =
                        new OpenLoopClient(
                                eventLoops.next(), server.address(), classes, "direct")) {
            Pacer pacer = new Pacer(seed);
            List<OpenLoopClient> clients = List.of(viaNode, direct);
            pacer.run(
                    clients,
                    WARM_UP_REQUESTS_PER_SECOND,
                    runSettings.warmUpRequests() / (double) WARM_UP_REQUESTS_PER_SECOND);
            collect(viaNode);
            collect(direct);
            for (int slice = 0; slice < runSettings.loadSlices(); slice++) {
                Duration cpuBefore = node.cpu();
                pacer.run(clients, REQUESTS_PER_SECOND, runSettings.loadSliceSeconds());
                Latencies viaNodeLatencies = collect(viaNode);
                double cpu =
                        node.cpu().minus(cpuBefore).toMillis() / MILLIS_PER_SECOND
                                - idleCpu * runSettings.loadSliceSeconds();
                slices.add(slice(cpu, viaNodeLatencies, collect(direct)));
            }
        }
        return new Load(slices);
    }

    private static Latencies collect(OpenLoopClient client)
            throws IOException, InterruptedException {
        if (!client.awaitResponses(RESPONSE_TIMEOUT_MS)) {
            throw new IOException("requests are not answered after " + RESPONSE_TIMEOUT_MS + " ms");
        }
        return client.collect();
    }

    private static LoadSlice slice(double cpuSeconds, Latencies viaNode, Latencies direct) {
        long requests = viaNode.served().getTotalCount() + viaNode.failed();
        return new LoadSlice(
                cpuSeconds * MILLIS_PER_SECOND / Math.max(1, requests),
                viaNode.milliseconds(50),
                viaNode.milliseconds(99),
                direct.milliseconds(50),
                direct.milliseconds(99),
                viaNode.sendDelayMilliseconds(99),
                viaNode.served().getTotalCount(),
                viaNode.failed() + direct.failed());
    }

    private NodeConfiguration configuration(DiscoveryStandIn discovery, Fleet fleet)
            throws IOException {
        return new NodeConfiguration(
                NodeProcess.freeAddress(), discovery.address(), seed, classes, fleet.fullList());
    }

    private NodeProcess start(Path folder, NodeConfiguration configuration) throws IOException {
        return NodeProcess.start(run, root, folder, configuration);
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    @Override
    public void close() {
        eventLoops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
