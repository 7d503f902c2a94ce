// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.EventLoop;
import io.vertx.core.Vertx;
import io.vertx.core.internal.ContextInternal;
import io.vertx.core.net.NetClient;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import ottergauge.protocol.NodeConfig;
import ottergauge.transport.HollowEvent.Source;

/** Runs hollow nodes that share one event loop, and reports the lag of the loop. */
final class HollowLoop {

    private static final long REPORT_PERIOD_MS = 500;

    private final int number;
    private final List<NodeConfig> configs;
    private final LongSupplier wallClock;
    private final Consumer<HollowEvent> observer;
    private final Vertx vertx = SingleLoopTransport.vertx(new EventLoopMonitor(System::nanoTime));
    private final ContextInternal context = (ContextInternal) vertx.getOrCreateContext();
    private final NetClient client = vertx.createNetClient();
    private final HollowPollCounter polls;
    private final EventLoopLag lag = new EventLoopLag(System.nanoTime());
    private final List<HollowNode> nodes = new ArrayList<>();

    HollowLoop(
            int number,
            List<NodeConfig> configs,
            LongSupplier wallClock,
            Consumer<HollowEvent> observer) {
        this.number = number;
        this.configs = configs;
        this.wallClock = wallClock;
        this.observer = observer;
        polls = new HollowPollCounter(Source.DISCOVERY, wallClock, observer);
    }

    /**
     * Starts the nodes one after the other over {@code overMs} milliseconds. The future completes
     * once the last one has been started.
     */
    CompletableFuture<Void> start(long overMs) {
        CompletableFuture<Void> started = new CompletableFuture<>();
        context.runOnContext(
                run -> {
                    recordLag();
                    vertx.setPeriodic(REPORT_PERIOD_MS, due -> report());
                    startNext(overMs, started);
                });
        return started;
    }

    private void startNext(long overMs, CompletableFuture<Void> started) {
        long pause = overMs / configs.size();
        while (nodes.size() < configs.size()) {
            add(configs.get(nodes.size()));
            if (pause > 0) {
                vertx.setTimer(pause, due -> startNext(overMs, started));
                return;
            }
        }
        started.complete(null);
    }

    private void add(NodeConfig config) {
        HollowNode node =
                new HollowNode(
                        config,
                        vertx,
                        OutboundConnection.dialer(client),
                        wallClock,
                        polls,
                        observer);
        nodes.add(node);
        node.start();
    }

    /** Drops all nodes with their connections and state, and starts all of them again at once. */
    CompletableFuture<Void> restart() {
        CompletableFuture<Void> started = new CompletableFuture<>();
        context.runOnContext(
                run -> {
                    nodes.forEach(HollowNode::drop);
                    nodes.clear();
                    startNext(0, started);
                });
        return started;
    }

    /** Has each node report the status of its servers. */
    void reportServers() {
        context.runOnContext(run -> nodes.forEach(HollowNode::reportServers));
    }

    private void recordLag() {
        EventLoop loop = context.nettyEventLoop();
        LoopTasks.schedule(
                loop, this::recordLag, lag.record(System.nanoTime()), TimeUnit.NANOSECONDS);
    }

    private void report() {
        nodes.forEach(HollowNode::report);
        polls.report();
        observer.accept(
                new HollowEvent.LoopLag(
                        number,
                        Arrays.stream(lag.takeCounts()).boxed().toList(),
                        wallClock.getAsLong()));
    }

    /** Closes the loop and its nodes. */
    void close() {
        vertx.close();
    }
}
