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
 * One stand-in server: an address for each node, the model that says how it works, and what ails
 * it.
 */
public final class ServerStandIn {

    private static final int MAX_BODY = 128 * 1024;
    // A server that has run for long.
    private static final long LONG_AGO = -3_600_000_000L;

    /** What a server does with requests while something is wrong with it. */
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

    /** {@code serverName} is the server's name in the play; its id changes when it is replaced. */
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

    /** Listens for a node. */
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

    // ---- What ails it
    // ---------------------------------------------------------------------------------

    /**
     * It takes what comes and answers nothing until it goes on; then it does all that was held up.
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

    /** Ends whatever is wrong with the server; what it held back is answered. */
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

    /** Loses this share of its answers after the work is done. */
    public void loseResponses(double share) {
        lostResponseShare = share;
    }

    /** The process dies: connections are reset, new ones refused, and what ran is lost. */
    // A failed write or close shows as the end of its connection.
    @SuppressWarnings("FutureReturnValueIgnored")
    public void crash() {
        model.crash();
        heldTasks.clear();
        new ArrayList<>(connections).forEach(Channel::close);
        links.forEach(Link::resetAll);
        listeners.values().forEach(listener -> listener.setRunning(false));
    }

    /** The machine is gone: nothing is answered, nothing comes up. */
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

    /** It starts again, cold; under another id if it is replaced. */
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

    /** From now on its list entry says that it drains. */
    public void drain() {
        draining = true;
    }

    /** Ends for good, with all of its addresses. */
    // A failed write or close shows as the end of its connection.
    @SuppressWarnings("FutureReturnValueIgnored")
    public void end() {
        listeners.values().forEach(Listener::end);
        new ArrayList<>(connections).forEach(Channel::close);
    }

    // ---- What its connections ask of it
    // -----------------------------------------------------------------

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

    /** Does something, or keeps it until the server goes on. */
    void runUnlessStalled(Runnable task) {
        if (faultMode == FaultMode.STALLED) {
            heldTasks.add(task);
        } else {
            task.run();
        }
    }

    /** It was pushed over: it stays down. */
    void collapse() {
        EventLog.ServerLifetime lifetime =
                eventLog.lifetimes.values().stream()
                        .filter(each -> each.server.equals(id))
                        .reduce((first, last) -> last)
                        .orElseThrow();
        if (lifetime.collapsedAt < 0) {
            lifetime.collapsedAt = loop.now();
            eventLog.addEvent(loop.now(), serverName, "was pushed over while cold");
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

    /** When it last started, as Unix time in milliseconds; 0 for long ago. */
    public long startedAtMs() {
        return startedAtMs;
    }

    public double speed() {
        return kind.cores() * kind.speed();
    }
}
