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
public final class ServerHost {

    private static final int MOST_BODY = 128 * 1024;
    // A server that has run for long.
    private static final long LONG_AGO = -3_600_000_000L;

    /** What a server does with requests while something is wrong with it. */
    private enum Ailment {
        NONE,
        STALLED,
        FAILS,
        FULL
    }

    private final Loop loop;
    private final Scenario scenario;
    private final ServerKind kind;
    private final EventLog eventLog;
    private final String place;
    private final String zone;
    private final Repeats repeats;
    private final ServerModel model;
    private final SplittableRandom random;
    private final Map<Integer, Listener> listeners = new LinkedHashMap<>();
    private final List<Link> links = new ArrayList<>();
    private final Set<Channel> connections = new LinkedHashSet<>();
    private final List<Runnable> held = new ArrayList<>();
    private final LongSupplier wallMs;
    private String id;
    private long bornMs;
    private int lives;
    private Ailment ailment = Ailment.NONE;
    private double answersLost;
    private boolean draining;

    /** {@code place} is the server's name in the play; its id changes when it is replaced. */
    public ServerHost(
            Loop loop,
            Scenario scenario,
            ServerKind kind,
            String place,
            String zone,
            Repeats repeats,
            EventLog eventLog,
            SplittableRandom random,
            LongSupplier wallMs) {
        this.loop = loop;
        this.scenario = scenario;
        this.kind = kind;
        this.place = place;
        this.zone = zone;
        this.repeats = repeats;
        this.eventLog = eventLog;
        this.random = random;
        this.wallMs = wallMs;
        double speed = kind.speed() * (1 + kind.spread() * (2 * random.nextDouble() - 1));
        model =
                new ServerModel(
                        kind,
                        speed,
                        LONG_AGO,
                        scenario.platform().tipMultiple(),
                        scenario.platform().fallAfter(),
                        loop::at);
        born(0, false);
    }

    private void born(long now, boolean cold) {
        lives++;
        id = place + (lives == 1 ? "" : "-" + lives);
        bornMs = cold ? wallMs.getAsLong() : 0;
        eventLog.lifetimes.put(id, new EventLog.ServerLifetime(id, zone, now, cold));
    }

    /** Listens for a node. */
    public void listen(int node, InetSocketAddress address, Link link) throws IOException {
        links.add(link);
        listeners.put(node, new Listener(loop, address, link, pipeline -> adopt(node, pipeline)));
    }

    private void adopt(int node, ChannelPipeline pipeline) {
        Channel channel = pipeline.channel();
        eventLog.addCost(loop.now(), Cost.HANDSHAKE, node, id);
        boolean over = connections.size() >= kind.connections();
        connections.add(channel);
        channel.closeFuture().addListener(closed -> connections.remove(channel));
        FirstByte firstByte = new FirstByte(loop);
        pipeline.addLast(
                firstByte,
                new HttpServerCodec(),
                new HttpObjectAggregator(MOST_BODY),
                new ServerConnection(this, node, firstByte, over));
    }

    // ---- What ails it
    // ---------------------------------------------------------------------------------

    /**
     * It takes what comes and answers nothing until it goes on; then it does all that was held up.
     */
    public void stall() {
        ailment = Ailment.STALLED;
    }

    public void failAll() {
        ailment = Ailment.FAILS;
    }

    public void fillUp() {
        ailment = Ailment.FULL;
    }

    /** Ends whatever is wrong with the server; what it held back is answered. */
    public void recover() {
        ailment = Ailment.NONE;
        answersLost = 0;
        model.slow(1);
        List<Runnable> released = new ArrayList<>(held);
        held.clear();
        released.forEach(Runnable::run);
    }

    public void slow(double factor) {
        model.slow(factor);
    }

    /** Loses this share of its answers after the work is done. */
    public void loseAnswers(double share) {
        answersLost = share;
    }

    /** The process dies: connections are reset, new ones refused, and what ran is lost. */
    // A failed write or close shows as the end of its connection.
    @SuppressWarnings("FutureReturnValueIgnored")
    public void die() {
        model.die();
        held.clear();
        new ArrayList<>(connections).forEach(Channel::close);
        links.forEach(Link::resetAll);
        listeners.values().forEach(listener -> listener.up(false));
    }

    /** The machine is gone: nothing is answered, nothing comes up. */
    public void vanish() {
        model.die();
        held.clear();
        links.forEach(
                link -> {
                    link.there().loseAll(true);
                    link.back().loseAll(true);
                    link.silent(true);
                });
    }

    /** It starts again, cold; under another id if it is replaced. */
    public void start(boolean replaced) {
        links.forEach(
                link -> {
                    link.there().loseAll(false);
                    link.back().loseAll(false);
                    link.silent(false);
                    link.resetAll();
                });
        model.start(loop.now());
        ailment = Ailment.NONE;
        draining = false;
        if (replaced) {
            born(loop.now(), true);
        } else {
            bornMs = wallMs.getAsLong();
            eventLog.lifetimes.put(id + "@" + loop.now(), new EventLog.ServerLifetime(id, zone, loop.now(), true));
        }
        listeners.values().forEach(listener -> listener.up(true));
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

    Repeats repeats() {
        return repeats;
    }

    boolean fails() {
        return ailment == Ailment.FAILS
                || (kind.errors() > 0 && random.nextDouble() < kind.errors());
    }

    boolean full() {
        return ailment == Ailment.FULL;
    }

    boolean losesAnswer() {
        return answersLost > 0 && random.nextDouble() < answersLost;
    }

    /** Does something, or keeps it until the server goes on. */
    void unlessStalled(Runnable task) {
        if (ailment == Ailment.STALLED) {
            held.add(task);
        } else {
            task.run();
        }
    }

    /** It was pushed over: it stays down. */
    void fell() {
        EventLog.ServerLifetime life =
                eventLog.lifetimes.values().stream()
                        .filter(each -> each.server.equals(id))
                        .reduce((first, last) -> last)
                        .orElseThrow();
        if (life.fellAt < 0) {
            life.fellAt = loop.now();
            eventLog.addEvent(loop.now(), place, "was pushed over while cold");
            die();
        }
    }

    String report() {
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

    public String place() {
        return place;
    }

    public String zone() {
        return zone;
    }

    public boolean draining() {
        return draining;
    }

    public boolean fallen() {
        return model.fallen();
    }

    /** When it last started, as Unix time in milliseconds; 0 for long ago. */
    public long bornMs() {
        return bornMs;
    }

    public double speed() {
        return kind.cores() * kind.speed();
    }
}
