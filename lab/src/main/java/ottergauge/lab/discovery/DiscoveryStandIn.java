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
import ottergauge.lab.discovery.ServiceRegistry.Health;
import ottergauge.lab.discovery.ServiceRegistry.Instance;
import ottergauge.lab.eventlog.EventLog;
import ottergauge.lab.eventlog.EventLog.Cost;
import ottergauge.lab.net.Link;
import ottergauge.lab.net.Listener;
import ottergauge.lab.net.Loop;
import ottergauge.lab.scenario.Scenario;

/**
 * A stand-in for discovery that all nodes of a run call. It handles calls one after the other at a
 * limited rate, so calls may have to queue.
 */
public final class DiscoveryStandIn {

    private static final String TARGET = "registry";
    private static final long MAX_WAIT_MS = 60_000;
    private static final long MS = 1_000;
    // A call that renews a watch within this time, in microseconds, after the last response on its
    // connection does not queue.
    private static final long CONTINUATION_WINDOW = 200 * MS;
    // A node counts as informed that a server is leaving once discovery has known it and has been
    // reachable for this long, in microseconds, even if the node's calls failed.
    private static final long DRAIN_NOTICE_LIMIT = 6_000 * MS;

    private record Watch(ChannelHandlerContext ctx, int node, long after, long until) {}

    private final Loop loop;
    private final Scenario scenario;
    private final ServiceRegistry registry;
    private final EventLog eventLog;
    private final BiFunction<Integer, String, String> addressOf;
    private final Map<Integer, Listener> listeners = new LinkedHashMap<>();
    private final List<Link> links = new ArrayList<>();
    private final Set<Watch> watches = new LinkedHashSet<>();

    /** Connections on which discovery sends nothing any more. */
    private final Set<ChannelHandlerContext> silentConnections = new HashSet<>();

    /** When the last list was sent, for each open connection. */
    private final Map<ChannelHandlerContext, Long> lastAnswered = new HashMap<>();

    private final Map<Integer, Map<String, Long>> unconfirmedDrains = new LinkedHashMap<>();
    private final Set<Instance> scheduledDrains = new HashSet<>();
    private boolean running = true;
    private boolean frozen;

    /** Since when discovery has answered calls with its current list. */
    private long reachableSince;

    private double callsPerSecond;
    private long freeAt;

    /**
     * {@code addressOf} returns the address under which a node reaches the server of a given name.
     */
    public DiscoveryStandIn(
            Loop loop,
            Scenario scenario,
            ServiceRegistry registry,
            EventLog eventLog,
            BiFunction<Integer, String, String> addressOf) {
        this.loop = loop;
        this.scenario = scenario;
        this.registry = registry;
        this.eventLog = eventLog;
        this.addressOf = addressOf;
        callsPerSecond = scenario.registry().callsPerSecond();
    }

    /** Starts listening on the address that a node uses. */
    public void listen(int node, InetSocketAddress address, Link link) throws IOException {
        links.add(link);
        listeners.put(
                node, new Listener(loop, address, link, pipeline -> addHandlers(node, pipeline)));
    }

    private void addHandlers(int node, ChannelPipeline pipeline) {
        pipeline.addLast(
                new HttpServerCodec(),
                new HttpObjectAggregator(1 << 16),
                new SimpleChannelInboundHandler<FullHttpRequest>() {
                    @Override
                    protected void channelRead0(
                            ChannelHandlerContext ctx, FullHttpRequest request) {
                        receive(ctx, node, new QueryStringDecoder(request.uri()));
                    }

                    @Override
                    public void channelInactive(ChannelHandlerContext ctx) {
                        watches.removeIf(watch -> watch.ctx() == ctx);
                        silentConnections.remove(ctx);
                        lastAnswered.remove(ctx);
                    }

                    @Override
                    // The future may be ignored: the connection closes after a failed write or
                    // close.
                    @SuppressWarnings("FutureReturnValueIgnored")
                    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
                        ctx.close();
                    }
                });
    }

    /**
     * Stops responding to all open watches: their connections stay open, but discovery sends
     * nothing on them.
     */
    public void silenceWatches() {
        watches.forEach(watch -> silentConnections.add(watch.ctx()));
        watches.clear();
    }

    private void receive(ChannelHandlerContext ctx, int node, QueryStringDecoder call) {
        if (silentConnections.contains(ctx)) {
            return;
        }
        if (!call.path().equals("/registry/instances")) {
            respond(ctx, HttpResponseStatus.NOT_FOUND, "{}");
            return;
        }
        long after = number(call, "after", -1);
        long wait = Math.min(MAX_WAIT_MS, number(call, "wait_ms", 0)) * MS;
        confirmDrains(node, after);
        long now = loop.now();
        Long before = lastAnswered.get(ctx);
        if (after >= 0 && before != null && now - before <= CONTINUATION_WINDOW) {
            handle(ctx, node, after, wait);
            return;
        }
        long handleAt = Math.max(freeAt, now) + (long) (1e6 / callsPerSecond);
        if (handleAt - now > scenario.registry().maxQueueTime()) {
            eventLog.addCost(now, Cost.LIST_CALL_FAILED, node, TARGET);
            loop.after(
                    scenario.registry().maxQueueTime(),
                    () -> respond(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "{}"));
            return;
        }
        eventLog.addCost(now, Cost.LIST_CALL, node, TARGET);
        freeAt = handleAt;
        loop.at(handleAt, () -> handle(ctx, node, after, wait));
    }

    private static long number(QueryStringDecoder call, String name, long defaultValue) {
        List<String> values = call.parameters().get(name);
        try {
            return values == null ? defaultValue : Long.parseLong(values.get(0));
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }

    private void handle(ChannelHandlerContext ctx, int node, long after, long wait) {
        if (after < 0) {
            sendUpdate(ctx, node, true, registry.fullList());
        } else if (!registry.since(after).isEmpty() || wait == 0) {
            sendUpdate(ctx, node, false, registry.since(after));
        } else {
            Watch watch = new Watch(ctx, node, after, loop.now() + wait);
            watches.add(watch);
            loop.at(
                    watch.until(),
                    () -> {
                        if (watches.remove(watch)) {
                            sendUpdate(ctx, node, false, registry.since(after));
                        }
                    });
        }
    }

    /**
     * Sends the latest changes to the open watches, and schedules the time from which all nodes
     * count as informed of the servers that are leaving.
     */
    public void listChanged() {
        long now = loop.now();
        registry.since(0).stream()
                .filter(
                        instance ->
                                instance.health() != Health.IN_SERVICE
                                        && scheduledDrains.add(instance))
                .forEach(
                        instance ->
                                loop.at(
                                        now + DRAIN_NOTICE_LIMIT,
                                        () -> markKnownIfReachable(instance, now)));
        for (Watch watch : new ArrayList<>(watches)) {
            List<Instance> updates = registry.since(watch.after());
            if (!updates.isEmpty() && watches.remove(watch)) {
                sendUpdate(watch.ctx(), watch.node(), false, updates);
            }
        }
    }

    private void sendUpdate(
            ChannelHandlerContext ctx, int node, boolean fullList, List<Instance> instances) {
        StringBuilder text =
                new StringBuilder(
                        "{\"seq\":"
                                + registry.version()
                                + ",\"whole\":"
                                + fullList
                                + ",\"hosts\":[");
        for (Instance instance : instances) {
            if (instance.health() != Health.IN_SERVICE) {
                unconfirmedDrains
                        .computeIfAbsent(node, each -> new LinkedHashMap<>())
                        .put(instance.id(), instance.version());
            }
            text.append(text.charAt(text.length() - 1) == '[' ? "" : ",")
                    .append(instanceJson(node, instance));
        }
        lastAnswered.put(ctx, loop.now());
        respond(ctx, HttpResponseStatus.OK, text.append("]}").toString());
    }

    private void markKnownIfReachable(Instance instance, long since) {
        if (!running || frozen || reachableSince > since) {
            long from = running && !frozen ? reachableSince : loop.now();
            loop.at(from + DRAIN_NOTICE_LIMIT, () -> markKnownIfReachable(instance, from));
        } else if (registry.isLatest(instance)) {
            listeners.keySet().forEach(node -> markDrainKnown(node, instance.id()));
        }
    }

    /** Serves the list as it is now and ignores later changes, or serves the current list again. */
    public void freeze(boolean freezeNow) {
        frozen = freezeNow;
        if (freezeNow) {
            registry.freeze();
        } else {
            registry.thaw();
            reachableSince = loop.now();
            listChanged();
        }
    }

    /** The JSON object that describes an instance to a node. */
    public String instanceJson(int node, Instance instance) {
        return String.format(
                Locale.ROOT,
                "{\"host\":\"%s\",\"dial\":\"%s\",\"site\":\"%s\",\"class\":\"%s\","
                        + "\"block\":0,\"health\":\"%s\",\"share\":1.0,\"born_ms\":%d}",
                instance.id(),
                addressOf.apply(node, instance.serverName()),
                instance.zone(),
                instance.kind(),
                instance.health().name().toLowerCase(Locale.ROOT),
                instance.startedAtMs());
    }

    // A node that asks for the changes after a version has received all changes up to that version.
    private void confirmDrains(int node, long version) {
        unconfirmedDrains
                .getOrDefault(node, Map.of())
                .entrySet()
                .removeIf(
                        drain -> {
                            boolean reached = version >= drain.getValue();
                            if (reached) {
                                markDrainKnown(node, drain.getKey());
                            }
                            return reached;
                        });
    }

    // Records that a node knows from now on that a server is leaving the endpoint list.
    private void markDrainKnown(int node, String server) {
        eventLog.lifetimes.values().stream()
                .filter(lifetime -> lifetime.server.equals(server))
                .reduce((first, last) -> last)
                .ifPresent(lifetime -> lifetime.drainKnownAt.putIfAbsent(node, loop.now()));
    }

    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void respond(ChannelHandlerContext ctx, HttpResponseStatus status, String body) {
        Channel channel = ctx.channel();
        if (channel.isActive() && !silentConnections.contains(ctx)) {
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

    /** Simulates the end or the restart of the discovery process. */
    public void setRunning(boolean running) {
        this.running = running;
        if (running) {
            reachableSince = loop.now();
        } else {
            watches.clear();
            links.forEach(Link::resetAll);
        }
        listeners.values().forEach(listener -> listener.setRunning(running));
    }

    /** Sets the number of calls per second that discovery handles. */
    public void setCallsPerSecond(double perSecond) {
        callsPerSecond = perSecond;
        reachableSince = loop.now();
        freeAt = Math.min(freeAt, loop.now());
    }

    public ServiceRegistry registry() {
        return registry;
    }

    public void end() {
        listeners.values().forEach(Listener::end);
    }
}
