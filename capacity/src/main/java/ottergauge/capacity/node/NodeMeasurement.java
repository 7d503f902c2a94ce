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
import ottergauge.capacity.node.NodeFigures.Changes;
import ottergauge.capacity.node.NodeFigures.Load;
import ottergauge.capacity.node.NodeFigures.LoadSlice;
import ottergauge.capacity.node.NodeFigures.NotTaken;
import ottergauge.capacity.node.NodeFigures.Rest;
import ottergauge.capacity.node.NodeFigures.Start;
import ottergauge.capacity.node.NodeFigures.Taken;
import ottergauge.capacity.node.NodeFigures.Told;
import ottergauge.capacity.standin.DiscoveryStandIn;
import ottergauge.capacity.standin.ServerStandIn;
import ottergauge.capacity.standin.Traffic;
import ottergauge.capacity.workload.Fleet;
import ottergauge.capacity.workload.NodeConfiguration;

/** Starts real processes before stand-ins and measures them, one after the other. */
public final class NodeMeasurement implements AutoCloseable {

    /** How long each part takes. */
    public record Effort(
            int starts,
            int settleMs,
            int restSeconds,
            int changeSlices,
            int changeSliceSeconds,
            int warmUpRequests,
            int loadSlices,
            int loadSliceSeconds,
            int toldWithinMs) {}

    /** Changes of the list a second while that is measured. */
    public static final int CHANGES_A_SECOND = 50;

    /** Requests a second at the node, and as many past it. */
    public static final int REQUESTS_A_SECOND = 62;

    private static final int WARM_UP_A_SECOND = 200;
    private static final long ANSWERED_WITHIN_MS = 2_000;
    private static final int LOOPS = 3;
    private static final long LOOK_EVERY_MS = 2;
    private static final double NANOS_A_MILLI = 1e6;
    private static final double MILLIS = 1e3;

    private final RunLine run;
    private final Path root;
    private final long seed;
    private final int classes;
    private final Effort effort;
    private final EventLoopGroup loops =
            new MultiThreadIoEventLoopGroup(LOOPS, NioIoHandler.newFactory());

    /** Measures the program under this root, started by this line. */
    public NodeMeasurement(RunLine run, Path root, long seed, int classes, Effort effort) {
        this.run = run;
        this.root = root;
        this.seed = seed;
        this.classes = classes;
        this.effort = effort;
    }

    /** Takes all figures for lists of this size. */
    public NodeFigures measure(int servers) throws IOException, InterruptedException {
        try (ServerStandIn server = new ServerStandIn(loops.next())) {
            Fleet fleet = Fleet.draw(servers, seed, server.address());
            Told told;
            try (DiscoveryStandIn discovery = new DiscoveryStandIn(loops.next(), fleet)) {
                told = startUntold(discovery);
            }
            List<Start> starts = new ArrayList<>();
            for (int start = 1; start < effort.starts(); start++) {
                starts.add(startOnly(fleet));
            }
            try (DiscoveryStandIn discovery = new DiscoveryStandIn(loops.next(), fleet)) {
                return measureRunning(fleet, discovery, server, told, starts);
            }
        }
    }

    private NodeFigures measureRunning(
            Fleet fleet,
            DiscoveryStandIn discovery,
            ServerStandIn server,
            Told told,
            List<Start> starts)
            throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("capacity");
        try (NodeProcess node = start(folder, configuration(discovery, fleet))) {
            starts.add(started(node));
            Rest rest = rest(node, discovery);
            Changes changes = change(node, discovery);
            Load load = load(node, server, rest.cpu());
            return new NodeFigures(starts, told, rest, changes, load, node.peakResidentBytes());
        } finally {
            delete(folder);
        }
    }

    private Start startOnly(Fleet fleet) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("capacity");
        try (DiscoveryStandIn discovery = new DiscoveryStandIn(loops.next(), fleet);
                NodeProcess node = start(folder, configuration(discovery, fleet))) {
            return started(node);
        } finally {
            delete(folder);
        }
    }

    private Start started(NodeProcess node) throws IOException, InterruptedException {
        Duration ready = node.awaitReady();
        Duration cpu = node.cpu();
        TimeUnit.MILLISECONDS.sleep(effort.settleMs());
        return new Start(ready.toNanos() / NANOS_A_MILLI, cpu.toMillis(), node.residentBytes());
    }

    private Told startUntold(DiscoveryStandIn discovery) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("capacity");
        NodeConfiguration configuration =
                new NodeConfiguration(
                        NodeProcess.freeAddress(),
                        discovery.address(),
                        seed,
                        classes,
                        Fleet.unknown());
        try (NodeProcess node = start(folder, configuration)) {
            long from = System.nanoTime();
            node.awaitReady();
            long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(effort.toldWithinMs());
            while (discovery.askedAfter() < discovery.version()) {
                if (System.nanoTime() > until) {
                    return notTaken(discovery);
                }
                TimeUnit.MILLISECONDS.sleep(LOOK_EVERY_MS);
            }
            double after = (System.nanoTime() - from) / NANOS_A_MILLI;
            TimeUnit.MILLISECONDS.sleep(effort.settleMs());
            return new Taken(after, node.residentBytes());
        } finally {
            delete(folder);
        }
    }

    private NotTaken notTaken(DiscoveryStandIn discovery) {
        Traffic passed = discovery.traffic();
        return new NotTaken(
                "not taken in %.1f s: %d calls, %,d bytes"
                        .formatted(effort.toldWithinMs() / MILLIS, passed.calls(), passed.bytes()));
    }

    private Rest rest(NodeProcess node, DiscoveryStandIn discovery)
            throws IOException, InterruptedException {
        Traffic before = discovery.traffic();
        Duration cpuBefore = node.cpu();
        TimeUnit.SECONDS.sleep(effort.restSeconds());
        Traffic passed = discovery.traffic().since(before);
        double seconds = effort.restSeconds();
        return new Rest(
                node.cpu().minus(cpuBefore).toMillis() / MILLIS / seconds,
                passed.calls() / seconds,
                passed.bytes() / seconds);
    }

    private Changes change(NodeProcess node, DiscoveryStandIn discovery)
            throws IOException, InterruptedException {
        Traffic before = discovery.traffic();
        double[] cpu = new double[effort.changeSlices()];
        int made = 0;
        for (int slice = 0; slice < cpu.length; slice++) {
            Duration cpuBefore = node.cpu();
            made += discovery.change(CHANGES_A_SECOND, effort.changeSliceSeconds());
            cpu[slice] =
                    node.cpu().minus(cpuBefore).toMillis() / MILLIS / effort.changeSliceSeconds();
        }
        long until = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(effort.toldWithinMs());
        while (discovery.askedAfter() < discovery.version() && System.nanoTime() < until) {
            TimeUnit.MILLISECONDS.sleep(LOOK_EVERY_MS);
        }
        Traffic passed = discovery.traffic().since(before);
        return new Changes(
                cpu,
                passed.calls() / (double) made,
                passed.bytes() / (double) made,
                discovery.askedAfter() == discovery.version());
    }

    private Load load(NodeProcess node, ServerStandIn server, double cpuAtRest)
            throws IOException, InterruptedException {
        List<LoadSlice> slices = new ArrayList<>();
        try (OpenLoopClient through =
                        new OpenLoopClient(loops.next(), node.address(), classes, "through");
                OpenLoopClient direct =
                        new OpenLoopClient(loops.next(), server.address(), classes, "direct")) {
            Pacer pacer = new Pacer(seed);
            List<OpenLoopClient> clients = List.of(through, direct);
            pacer.run(
                    clients, WARM_UP_A_SECOND, effort.warmUpRequests() / (double) WARM_UP_A_SECOND);
            take(through);
            take(direct);
            for (int slice = 0; slice < effort.loadSlices(); slice++) {
                Duration cpuBefore = node.cpu();
                pacer.run(clients, REQUESTS_A_SECOND, effort.loadSliceSeconds());
                Latencies node99 = take(through);
                double cpu =
                        node.cpu().minus(cpuBefore).toMillis() / MILLIS
                                - cpuAtRest * effort.loadSliceSeconds();
                slices.add(slice(cpu, node99, take(direct)));
            }
        }
        return new Load(slices);
    }

    private static Latencies take(OpenLoopClient client) throws IOException, InterruptedException {
        if (!client.awaitAnswers(ANSWERED_WITHIN_MS)) {
            throw new IOException("requests are not answered after " + ANSWERED_WITHIN_MS + " ms");
        }
        return client.take();
    }

    private static LoadSlice slice(double cpuSeconds, Latencies through, Latencies direct) {
        long requests = through.served().getTotalCount() + through.failed();
        return new LoadSlice(
                cpuSeconds * MILLIS / Math.max(1, requests),
                through.milliseconds(50),
                through.milliseconds(99),
                direct.milliseconds(50),
                direct.milliseconds(99),
                through.lateMilliseconds(99),
                through.served().getTotalCount(),
                through.failed() + direct.failed());
    }

    private NodeConfiguration configuration(DiscoveryStandIn discovery, Fleet fleet)
            throws IOException {
        return new NodeConfiguration(
                NodeProcess.freeAddress(), discovery.address(), seed, classes, fleet.whole());
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
        loops.shutdownGracefully(0, 1, TimeUnit.SECONDS).syncUninterruptibly();
    }
}
