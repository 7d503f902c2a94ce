// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import ottergauge.protocol.NodeConfig;

/**
 * Many hollow nodes in one process, on few event loops. Nodes of one loop delay each other. The lag
 * of each loop is reported, so that a delay of the process is not attributed to the nodes.
 */
public final class HollowFleet implements AutoCloseable {

    private static final long MICROS = 1_000;

    private final List<HollowLoop> loops = new ArrayList<>();
    private final int nodes;
    private final Consumer<HollowEvent> observer;

    /**
     * Creates one node for each configuration; {@code observer} is called on the loops and must not
     * block them.
     */
    public HollowFleet(List<NodeConfig> configs, int loops, Consumer<HollowEvent> observer) {
        this.observer = observer;
        nodes = configs.size();
        for (int loop = 0; loop < loops; loop++) {
            List<NodeConfig> part = new ArrayList<>();
            for (int i = loop; i < configs.size(); i += loops) {
                part.add(configs.get(i));
            }
            this.loops.add(new HollowLoop(loop, part, HollowFleet::wallMicros, observer));
        }
    }

    /** The wall clock, in microseconds. */
    public static long wallMicros() {
        Instant now = Instant.now();
        return TimeUnit.SECONDS.toMicros(now.getEpochSecond()) + now.getNano() / MICROS;
    }

    /** The bounds of the buckets of {@link HollowEvent.LoopLag}, in milliseconds. */
    public static List<Integer> lagBoundsMs() {
        return EventLoopLag.BOUNDS_MS;
    }

    /** Starts all nodes, spread evenly over {@code overMs} milliseconds. */
    public CompletableFuture<Void> start(long overMs) {
        return whenAll(loops.stream().map(loop -> loop.start(overMs)).toList());
    }

    /** Drops all nodes with their connections and state, and starts all of them again at once. */
    public CompletableFuture<Void> restart() {
        return whenAll(loops.stream().map(HollowLoop::restart).toList());
    }

    private CompletableFuture<Void> whenAll(List<CompletableFuture<Void>> parts) {
        return CompletableFuture.allOf(parts.toArray(new CompletableFuture<?>[0]))
                .thenRun(() -> observer.accept(new HollowEvent.FleetStarted(nodes, wallMicros())));
    }

    /** Has each node report the status of its servers. */
    public void reportServers() {
        loops.forEach(HollowLoop::reportServers);
    }

    @Override
    public void close() {
        loops.forEach(HollowLoop::close);
    }
}
