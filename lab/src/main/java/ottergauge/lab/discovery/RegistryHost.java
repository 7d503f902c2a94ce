// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.discovery;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.QueryStringDecoder;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.function.BiFunction;
import ottergauge.lab.discovery.Registry.Health;
import ottergauge.lab.discovery.Registry.Line;
import ottergauge.lab.eventlog.EventLog;
import ottergauge.lab.eventlog.EventLog.Cost;
import ottergauge.lab.net.Link;
import ottergauge.lab.net.Listener;
import ottergauge.lab.net.Loop;
import ottergauge.lab.scenario.Scenario;

/**
 * Stand-in discovery: one service for all nodes that works through calls in turn and may be short
 * of time.
 */
public final class RegistryHost {

    private static final String TARGET = "registry";
    private static final long MOST_WAIT_MS = 60_000;
    private static final long MS = 1_000;
    // A watch that goes on so soon does not stand in the line again.
    private static final long GOES_ON = 200 * MS;
    // Whatever became of calls, a change counts as told so long after it was made and could be
    // asked for.
    private static final long TOLD_WITHIN = 6_000 * MS;

    private record Watch(ChannelHandlerContext ctx, int node, long after, long until) {}

    private final Loop loop;
    private final Scenario scenario;
    private final Registry registry;
    private final EventLog eventLog;
    private final BiFunction<Integer, String, String> dials;
    private final Map<Integer, Listener> listeners = new LinkedHashMap<>();
    private final List<Link> links = new ArrayList<>();
    private final Set<Watch> watches = new LinkedHashSet<>();

    /** Connections on which nothing comes any more. */
    private final Set<ChannelHandlerContext> silent = new HashSet<>();

    /** When a watch was answered last, for each connection that is open. */
    private final Map<ChannelHandlerContext, Long> answered = new HashMap<>();

    private final Map<Integer, Map<String, Long>> drainsTold = new LinkedHashMap<>();
    private final Set<Line> counted = new HashSet<>();
    private boolean lives = true;
    private boolean frozen;

    /** From when on it has answered with what it knows. */
    private long reachableSince;

    private double callsPerSecond;
    private long freeAt;

    /** {@code dials} gives the address under which a node finds the server of a place. */
    public RegistryHost(
            Loop loop,
            Scenario scenario,
            Registry registry,
            EventLog eventLog,
            BiFunction<Integer, String, String> dials) {
        this.loop = loop;
        this.scenario = scenario;
        this.registry = registry;
        this.eventLog = eventLog;
        this.dials = dials;
        callsPerSecond = scenario.registry().callsPerSecond();
    }

    public void listen(int node, InetSocketAddress address, Link link) throws IOException {
        links.add(link);
        listeners.put(node, new Listener(loop, address, link, pipeline -> adopt(node, pipeline)));
    }

    private void adopt(int node, ChannelPipeline pipeline) {
        pipeline.addLast(
                new HttpServerCodec(),
                new HttpObjectAggregator(1 << 16),
                new SimpleChannelInboundHandler<FullHttpRequest>() {
                    @Override
                    protected void channelRead0(
                            ChannelHandlerContext ctx, FullHttpRequest request) {
                        asked(ctx, node, new QueryStringDecoder(request.uri()));
                    }

                    @Override
                    public void channelInactive(ChannelHandlerContext ctx) {
                        watches.removeIf(watch -> watch.ctx() == ctx);
                        silent.remove(ctx);
                        answered.remove(ctx);
                    }

                    @Override
                    // A failed write or close shows as the end of its connection.
                    @SuppressWarnings("FutureReturnValueIgnored")
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        ctx.close();
                    }
                });
    }

    /**
     * The watches that are open fall silent: their connections stay up, and nothing comes on them.
     */
    public void silence() {
        watches.forEach(watch -> silent.add(watch.ctx()));
        watches.clear();
    }

    private void asked(ChannelHandlerContext ctx, int node, QueryStringDecoder call) {
        if (silent.contains(ctx)) {
            return;
        }
        if (!call.path().equals("/registry/instances")) {
            answer(ctx, HttpResponseStatus.NOT_FOUND, "{}");
            return;
        }
        long after = number(call, "after", -1);
        long wait = Math.min(MOST_WAIT_MS, number(call, "wait_ms", 0)) * MS;
        confirmed(node, after);
        long now = loop.now();
        Long before = answered.get(ctx);
        if (after >= 0 && before != null && now - before <= GOES_ON) {
            handle(ctx, node, after, wait);
            return;
        }
        long turn = Math.max(freeAt, now) + (long) (1e6 / callsPerSecond);
        if (turn - now > scenario.registry().patience()) {
            eventLog.addCost(now, Cost.LIST_CALL_FAILED, node, TARGET);
            loop.after(
                    scenario.registry().patience(),
                    () -> answer(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "{}"));
            return;
        }
        eventLog.addCost(now, Cost.LIST_CALL, node, TARGET);
        freeAt = turn;
        loop.at(turn, () -> handle(ctx, node, after, wait));
    }

    private static long number(QueryStringDecoder call, String name, long absent) {
        List<String> values = call.parameters().get(name);
        try {
            return values == null ? absent : Long.parseLong(values.get(0));
        } catch (NumberFormatException e) {
            return absent;
        }
    }

    private void handle(ChannelHandlerContext ctx, int node, long after, long wait) {
        if (after < 0) {
            tell(ctx, node, true, registry.whole());
        } else if (!registry.since(after).isEmpty() || wait == 0) {
            tell(ctx, node, false, registry.since(after));
        } else {
            Watch watch = new Watch(ctx, node, after, loop.now() + wait);
            watches.add(watch);
            loop.at(
                    watch.until(),
                    () -> {
                        if (watches.remove(watch)) {
                            tell(ctx, node, false, registry.since(after));
                        }
                    });
        }
    }

    /** The list has changed: those who watch are told. */
    public void changed() {
        long now = loop.now();
        registry.since(0).stream()
                .filter(line -> line.health() != Health.IN_SERVICE && counted.add(line))
                .forEach(line -> loop.at(now + TOLD_WITHIN, () -> countsByNow(line, now)));
        for (Watch watch : new ArrayList<>(watches)) {
            List<Line> news = registry.since(watch.after());
            if (!news.isEmpty() && watches.remove(watch)) {
                tell(watch.ctx(), watch.node(), false, news);
            }
        }
    }

    private void tell(ChannelHandlerContext ctx, int node, boolean whole, List<Line> lines) {
        StringBuilder text =
                new StringBuilder(
                        "{\"seq\":" + registry.version() + ",\"whole\":" + whole + ",\"hosts\":[");
        for (Line line : lines) {
            if (line.health() != Health.IN_SERVICE) {
                drainsTold
                        .computeIfAbsent(node, each -> new LinkedHashMap<>())
                        .put(line.id(), line.version());
            }
            text.append(text.charAt(text.length() - 1) == '[' ? "" : ",").append(entry(node, line));
        }
        answered.put(ctx, loop.now());
        answer(ctx, HttpResponseStatus.OK, text.append("]}").toString());
    }

    private void countsByNow(Line line, long since) {
        if (!lives || frozen || reachableSince > since) {
            long from = lives && !frozen ? reachableSince : loop.now();
            loop.at(from + TOLD_WITHIN, () -> countsByNow(line, from));
        } else if (registry.isLatest(line)) {
            listeners.keySet().forEach(node -> counts(node, line.id()));
        }
    }

    /** It tells what it knew when it froze, or again what it knows. */
    public void freeze(boolean freezes) {
        frozen = freezes;
        if (freezes) {
            registry.freeze();
        } else {
            registry.thaw();
            reachableSince = loop.now();
            changed();
        }
    }

    /** A line as a node is told it. */
    public String entry(int node, Line line) {
        return String.format(
                Locale.ROOT,
                "{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"%s\",\"class\":\"%s\","
                        + "\"block\":0,\"health\":\"%s\",\"share\":1.0,\"born_ms\":%d}",
                line.id(),
                dials.apply(node, line.place()),
                line.zone(),
                line.kind(),
                line.health().name().toLowerCase(Locale.ROOT),
                line.bornMs());
    }

    // A node that asks for what is newer than a version has heard all of that.
    private void confirmed(int node, long version) {
        drainsTold
                .getOrDefault(node, Map.of())
                .entrySet()
                .removeIf(
                        told -> {
                            boolean heard = version >= told.getValue();
                            if (heard) {
                                counts(node, told.getKey());
                            }
                            return heard;
                        });
    }

    // From now on a node counts as told that a server leaves.
    private void counts(int node, String server) {
        eventLog.lifetimes.values().stream()
                .filter(life -> life.server.equals(server))
                .reduce((first, last) -> last)
                .ifPresent(life -> life.toldAt.putIfAbsent(node, loop.now()));
    }

    // A failed write or close shows as the end of its connection.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void answer(ChannelHandlerContext ctx, HttpResponseStatus status, String body) {
        Channel channel = ctx.channel();
        if (channel.isActive() && !silent.contains(ctx)) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1,
                            status,
                            Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
            response.headers()
                    .set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            ctx.writeAndFlush(response);
        }
    }

    /** Its process is gone, or back. */
    public void up(boolean lives) {
        this.lives = lives;
        if (lives) {
            reachableSince = loop.now();
        } else {
            watches.clear();
            links.forEach(Link::resetAll);
        }
        listeners.values().forEach(listener -> listener.up(lives));
    }

    /** How many calls a second it works through from now on. */
    public void speed(double perSecond) {
        callsPerSecond = perSecond;
        reachableSince = loop.now();
        freeAt = Math.min(freeAt, loop.now());
    }

    public Registry registry() {
        return registry;
    }

    public void end() {
        listeners.values().forEach(Listener::end);
    }
}
