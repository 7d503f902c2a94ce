// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.server;

import io.netty.channel.Channel;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.LongSupplier;
import ottergauge.lab.eventlog.EventLog;
import ottergauge.lab.eventlog.EventLog.Cost;
import ottergauge.lab.net.Link;
import ottergauge.lab.net.Listener;
import ottergauge.lab.net.Loop;
import ottergauge.lab.scenario.Scenario;
import ottergauge.lab.scenario.Scenario.ServerKind;

/**
 * A server stand-in: it has one address for each node, a model of how it processes requests, and
 * the faults that are active on it.
 */
public final class ServerStandIn {

    private static final int MAX_BODY = 128 * 1024;
    // The start time, in microseconds, of a server that is warm when the run begins: an hour before
    // the load starts.
    private static final long LONG_AGO = -3_600_000_000L;

    /** How an active fault changes the handling of requests. */
    private enum FaultMode {
        NONE,
        STALLED,
        FAILS,
        FULL
    }

    private final Loop loop;
    private final Scenario scenario;
    private final ServerKind kind;
    private final EventLog eventLog;
    private final String serverName;
    private final String zone;
    private final DeduplicationCache deduplicationCache;
    private final ServerModel model;
    private final SplittableRandom random;
    private final Map<Integer, Listener> listeners = new LinkedHashMap<>();
    private final List<Link> links = new ArrayList<>();
    private final Set<Channel> connections = new LinkedHashSet<>();
    private final List<Runnable> heldTasks = new ArrayList<>();
    private final LongSupplier wallClockMs;
    private String id;
    private long startedAtMs;
    private int lifetimes;
    private FaultMode faultMode = FaultMode.NONE;
    private double lostResponseShare;
    private boolean draining;

    /**
     * {@code serverName} is the server's name in the scenario, which stays when a replacement gets
     * another id.
     */
    public ServerStandIn(
            Loop loop,
            Scenario scenario,
            ServerKind kind,
            String serverName,
            String zone,
            DeduplicationCache deduplicationCache,
            EventLog eventLog,
            SplittableRandom random,
            LongSupplier wallClockMs) {
        this.loop = loop;
        this.scenario = scenario;
        this.kind = kind;
        this.serverName = serverName;
        this.zone = zone;
        this.deduplicationCache = deduplicationCache;
        this.eventLog = eventLog;
        this.random = random;
        this.wallClockMs = wallClockMs;
        double speed = kind.speed() * (1 + kind.spread() * (2 * random.nextDouble() - 1));
        model =
                new ServerModel(
                        kind,
                        speed,
                        LONG_AGO,
                        scenario.platform().overloadMultiple(),
                        scenario.platform().overloadWindow(),
                        loop::at);
        startLifetime(0, false);
    }

    private void startLifetime(long now, boolean cold) {
        lifetimes++;
        id = serverName + (lifetimes == 1 ? "" : "-" + lifetimes);
        startedAtMs = cold ? wallClockMs.getAsLong() : 0;
        eventLog.lifetimes.put(id, new EventLog.ServerLifetime(id, zone, now, cold));
    }

    /** Starts listening on the address that a node uses. */
    public void listen(int node, InetSocketAddress address, Link link) throws IOException {
        links.add(link);
        listeners.put(
                node, new Listener(loop, address, link, pipeline -> addHandlers(node, pipeline)));
    }

    private void addHandlers(int node, ChannelPipeline pipeline) {
        Channel channel = pipeline.channel();
        eventLog.addCost(loop.now(), Cost.HANDSHAKE, node, id);
        boolean overLimit = connections.size() >= kind.connections();
        connections.add(channel);
        channel.closeFuture().addListener(closed -> connections.remove(channel));
        FirstByteRecorder firstByte = new FirstByteRecorder(loop);
        pipeline.addLast(
                firstByte,
                new HttpServerCodec(),
                new HttpObjectAggregator(MAX_BODY),
                new ServerConnection(this, node, firstByte, overLimit));
    }

    // Faults

    /**
     * Accepts requests but responds to none until {@link #recover}; then it handles all of them.
     */
    public void stall() {
        faultMode = FaultMode.STALLED;
    }

    public void failAll() {
        faultMode = FaultMode.FAILS;
    }

    public void rejectAll() {
        faultMode = FaultMode.FULL;
    }

    /** Ends the server's faults and handles the requests that it has held. */
    public void recover() {
        faultMode = FaultMode.NONE;
        lostResponseShare = 0;
        model.slow(1);
        List<Runnable> released = new ArrayList<>(heldTasks);
        heldTasks.clear();
        released.forEach(Runnable::run);
    }

    public void slow(double factor) {
        model.slow(factor);
    }

    /** Sets the share of requests that the server executes without sending a response. */
    public void loseResponses(double share) {
        lostResponseShare = share;
    }

    /**
     * Simulates a crash of the process: connections are reset, new ones are refused, and running
     * requests are lost.
     */
    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    public void crash() {
        model.crash();
        heldTasks.clear();
        new ArrayList<>(connections).forEach(Channel::close);
        links.forEach(Link::resetAll);
        listeners.values().forEach(listener -> listener.setRunning(false));
    }

    /**
     * Simulates the loss of the machine: no packet is answered and no connection can be
     * established.
     */
    public void vanish() {
        model.crash();
        heldTasks.clear();
        links.forEach(
                link -> {
                    link.forward().setLoseAll(true);
                    link.backward().setLoseAll(true);
                    link.setSilent(true);
                });
    }

    /** Starts the server again, cold; under another id if it replaces the previous one. */
    public void start(boolean replaced) {
        links.forEach(
                link -> {
                    link.forward().setLoseAll(false);
                    link.backward().setLoseAll(false);
                    link.setSilent(false);
                    link.resetAll();
                });
        model.start(loop.now());
        faultMode = FaultMode.NONE;
        draining = false;
        if (replaced) {
            startLifetime(loop.now(), true);
        } else {
            startedAtMs = wallClockMs.getAsLong();
            eventLog.lifetimes.put(
                    id + "@" + loop.now(), new EventLog.ServerLifetime(id, zone, loop.now(), true));
        }
        listeners.values().forEach(listener -> listener.setRunning(true));
    }

    /** Marks the server as draining in the endpoint list. */
    public void drain() {
        draining = true;
    }

    /** Stops the server for good and frees its addresses. */
    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    public void end() {
        listeners.values().forEach(Listener::end);
        new ArrayList<>(connections).forEach(Channel::close);
    }

    // Used by the server's connections

    Loop loop() {
        return loop;
    }

    Scenario scenario() {
        return scenario;
    }

    ServerKind kind() {
        return kind;
    }

    ServerModel model() {
        return model;
    }

    EventLog eventLog() {
        return eventLog;
    }

    DeduplicationCache deduplicationCache() {
        return deduplicationCache;
    }

    boolean failsRequest() {
        return faultMode == FaultMode.FAILS
                || (kind.errorRate() > 0 && random.nextDouble() < kind.errorRate());
    }

    boolean isFull() {
        return faultMode == FaultMode.FULL;
    }

    boolean losesResponse() {
        return lostResponseShare > 0 && random.nextDouble() < lostResponseShare;
    }

    /** Runs a task, or holds it until the server recovers from a stall. */
    void runUnlessStalled(Runnable task) {
        if (faultMode == FaultMode.STALLED) {
            heldTasks.add(task);
        } else {
            task.run();
        }
    }

    /**
     * Simulates the collapse of a cold server under overload; it stays down until it is started
     * again.
     */
    void collapse() {
        EventLog.ServerLifetime lifetime =
                eventLog.lifetimes.values().stream()
                        .filter(each -> each.server.equals(id))
                        .reduce((first, last) -> last)
                        .orElseThrow();
        if (lifetime.collapsedAt < 0) {
            lifetime.collapsedAt = loop.now();
            eventLog.addEvent(loop.now(), serverName, "collapsed under load while cold");
            crash();
        }
    }

    String loadReport() {
        return "TEXT inflight="
                + model.inFlight()
                + ", queue="
                + model.queued()
                + ", util="
                + Math.round(model.utilization(loop.now()) * 1000) / 1000.0;
    }

    public String id() {
        return id;
    }

    public String serverName() {
        return serverName;
    }

    public String zone() {
        return zone;
    }

    public boolean draining() {
        return draining;
    }

    public boolean collapsed() {
        return model.collapsed();
    }

    /** When the server last started, as Unix time in milliseconds; 0 for long ago. */
    public long startedAtMs() {
        return startedAtMs;
    }

    public double speed() {
        return kind.cores() * kind.speed();
    }
}
