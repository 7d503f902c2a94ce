// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.client;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.SplittableRandom;
import ottergauge.lab.eventlog.EventLog;
import ottergauge.lab.eventlog.EventLog.Ask;
import ottergauge.lab.eventlog.EventLog.Try;
import ottergauge.lab.net.Link;
import ottergauge.lab.net.Loop;
import ottergauge.lab.scenario.Scenario;
import ottergauge.lab.scenario.Scenario.Effect;
import ottergauge.lab.scenario.Scenario.RequestClass;

/**
 * All clients of a play: an open loop, each request begun at its drawn instant whatever became of
 * others, and tried again as its client would. A client that stops waiting goes on listening for a
 * while, so that an answer that comes too late is seen.
 */
public final class Clients {

    // Past a try's time: what has not come by then is lost.
    private static final long LISTENS = 1_500_000;
    private static final int UNAVAILABLE = 503;
    private static final int TOO_MANY = 429;
    private static final long MS = 1_000;

    private final Loop loop;
    private final Scenario scenario;
    private final EventLog eventLog;
    private final Dialer dialer;
    private final Front front;
    private final List<Deque<Connection>> idle = new ArrayList<>();
    private final boolean[] dead;
    private final SplittableRandom random;
    private long lastId;
    private boolean ended;

    /** Connects the load to the nodes; the lists have an entry for each node. */
    public Clients(
            Loop loop,
            Scenario scenario,
            EventLog eventLog,
            List<InetSocketAddress> nodes,
            List<Link> links) {
        this.loop = loop;
        this.scenario = scenario;
        this.eventLog = eventLog;
        dialer = new Dialer(loop, nodes, links);
        front =
                new Front(
                        loop,
                        dialer,
                        eventLog,
                        nodes.size(),
                        scenario.nodes().busiest(),
                        scenario.clients().notice(),
                        scenario.seed());
        random = new SplittableRandom(scenario.seed() + 1);
        dead = new boolean[nodes.size() + 1];
        for (int node = 0; node <= nodes.size(); node++) {
            idle.add(new ArrayDeque<>());
        }
    }

    /**
     * A node's process has ended, or lives again: what breaks at a dead one is no close between
     * requests.
     */
    public void lives(int node, boolean alive) {
        dead[node] = !alive;
    }

    /** Begins to look which nodes are ready. */
    public void look() {
        front.begin();
    }

    public boolean allReady() {
        return front.allIn();
    }

    /** Begins the load: from here on instants count. */
    public void begin(List<Plan.Request> plan) {
        next(plan, 0);
    }

    private void next(List<Plan.Request> plan, int index) {
        if (index < plan.size() && !ended) {
            loop.at(
                    plan.get(index).at(),
                    () -> {
                        next(plan, index + 1);
                        arrive(plan.get(index));
                    });
        }
    }

    /** No request begins any more, and connections are closed. */
    // A failed write or close shows as the end of its connection.
    @SuppressWarnings("FutureReturnValueIgnored")
    public void end() {
        ended = true;
        front.end();
        idle.forEach(each -> each.forEach(connection -> connection.channel.close()));
    }

    private void arrive(Plan.Request request) {
        Ask ask =
                new Ask(
                        request.number(),
                        request.requestClass(),
                        request.tenant(),
                        request.at(),
                        request.work());
        eventLog.asks.add(ask);
        attempt(ask, request, 0);
    }

    private void attempt(Ask ask, Plan.Request request, int repeat) {
        RequestClass type = scenario.classes().get(ask.requestClass);
        long left = ask.intendedAt + type.deadline() - loop.now();
        long waits = Math.min(left, (long) (scenario.clients().tryPart() * type.deadline()));
        if (waits < MS || ended) {
            return;
        }
        int node = front.choose();
        Try each =
                new Try(
                        ask,
                        String.format("%08x%08x", scenario.seed() & 0xffffffffL, ++lastId),
                        node,
                        waits / MS * MS);
        ask.tries.add(each);
        eventLog.tries.put(each.id, each);
        if (node == 0) {
            ended(each, request, repeat, EventLog.NO_CONNECTION);
            return;
        }
        Call call = new Call(each, request, repeat);
        Connection kept = idle.get(node).pollLast();
        if (kept != null) {
            kept.send(call);
        } else {
            connect(call);
        }
        loop.after(waits, () -> stopWaiting(call));
        if (request.leaves() >= 0) {
            loop.after((long) (request.leaves() * waits), () -> leave(call));
        }
    }

    // It closes its connection and does not come again.
    // A failed write or close shows as the end of its connection.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void leave(Call call) {
        if (!call.over && call.on != null && call.on.call == call) {
            call.over = true;
            call.each.leftAt = loop.now();
            call.on.channel.close();
        }
    }

    private void connect(Call call) {
        Connection connection = new Connection(call.each.node);
        connection.call = call;
        call.each.fresh = true;
        dialer.connect(call.each.node, connection)
                .addListener(
                        done -> {
                            if (!done.isSuccess()) {
                                connection.call = null;
                                ended(call.each, call.request, call.repeat, EventLog.NO_CONNECTION);
                            }
                        });
    }

    // One try on its way; its request is written anew if a kept connection turns out to have been
    // closed.
    private final class Call {
        private final Try each;
        private final Plan.Request request;
        private final int repeat;
        private boolean over;
        private Connection on;

        Call(Try each, Plan.Request request, int repeat) {
            this.each = each;
            this.request = request;
            this.repeat = repeat;
        }

        FullHttpRequest message() {
            RequestClass type = scenario.classes().get(each.ask.requestClass);
            boolean safe = type.effect() == Effect.SAFE;
            FullHttpRequest message =
                    new DefaultFullHttpRequest(
                            HttpVersion.HTTP_1_1,
                            safe ? HttpMethod.GET : HttpMethod.POST,
                            "/api/" + request.key(),
                            safe
                                    ? Unpooled.EMPTY_BUFFER
                                    : Unpooled.copiedBuffer("asks", StandardCharsets.UTF_8));
            message.headers()
                    .set(HttpHeaderNames.HOST, "lab")
                    .set("X-Trace-Id", each.id)
                    .set("X-Qos", type.name())
                    .set("X-Expires-In-Ms", each.waits / MS);
            if (!safe) {
                HttpUtil.setContentLength(message, message.content().readableBytes());
            }
            if (type.effect() == Effect.KEYED) {
                message.headers()
                        .set(
                                "Idempotency-Key",
                                String.format("%016x%016x", scenario.seed(), each.ask.number));
            }
            if (repeat > 0 && scenario.clients().marksRetry()) {
                message.headers().set("X-Second-Try", "1");
            }
            if (each.ask.tenant >= 0) {
                message.headers().set("X-Tenant", scenario.tenants().get(each.ask.tenant).name());
            }
            return message;
        }
    }

    // A failed write or close shows as the end of its connection.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void stopWaiting(Call call) {
        if (call.each.answeredAt < 0) {
            call.each.gaveUpAt = loop.now();
            ended(call.each, call.request, call.repeat, EventLog.OPEN);
            call.over = true;
            loop.after(
                    LISTENS,
                    () -> {
                        if (call.on != null && call.on.call == call) {
                            call.on.channel.close();
                        }
                    });
        }
    }

    // What came of a try, and whether its client tries again.
    private void ended(Try each, Plan.Request request, int repeat, int status) {
        if (status != EventLog.OPEN) {
            each.status = status;
            each.answeredAt = loop.now();
        }
        if (status == 200 || repeat >= scenario.clients().repeats() || ended) {
            return;
        }
        RequestClass type = scenario.classes().get(each.ask.requestClass);
        boolean harmless =
                status == UNAVAILABLE || status == TOO_MANY || status == EventLog.NO_CONNECTION;
        if (type.effect() == Effect.UNSAFE && !harmless) {
            return;
        }
        long wait =
                request.obeys() && each.advice >= 0
                        ? Math.min(each.advice, scenario.platform().mostRetryAfter())
                        : scenario.clients().pause();
        // A little apart, as clients are.
        loop.after(
                wait + random.nextLong(wait / 10 + 2_000),
                () -> attempt(each.ask, request, repeat + 1));
    }

    // A connection to a node: one request at a time.
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private final int node;
        private Channel channel;
        private Call call;

        Connection(int node) {
            this.node = node;
        }

        @Override
        public void channelActive(ChannelHandlerContext ctx) {
            channel = ctx.channel();
            if (call != null) {
                send(call);
            }
        }

        // A failed write or close shows as the end of its connection.
        @SuppressWarnings("FutureReturnValueIgnored")
        void send(Call next) {
            call = next;
            next.on = this;
            next.each.sentAt = loop.now();
            channel.writeAndFlush(next.message());
        }

        @Override
        // A failed write or close shows as the end of its connection.
        @SuppressWarnings("FutureReturnValueIgnored")
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse response) {
            Call answered = call;
            if (answered == null) {
                ctx.close();
                return;
            }
            call = null;
            Try each = answered.each;
            each.answers++;
            int status = response.status().code();
            String after = response.headers().get(HttpHeaderNames.RETRY_AFTER);
            if (after != null) {
                each.advice = Math.round(Double.parseDouble(after) * 1e6);
            }
            each.genuine =
                    status != 200
                            || response.content()
                                    .toString(StandardCharsets.UTF_8)
                                    .equals("made for " + each.id);
            boolean keeps = HttpUtil.isKeepAlive(response);
            if (answered.over) {
                each.status = status;
                each.answeredAt = loop.now();
            } else {
                answered.over = true;
                ended(each, answered.request, answered.repeat, status);
            }
            if (keeps && !ended) {
                idle.get(node).add(this);
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            idle.get(node).remove(this);
            Call broken = call;
            call = null;
            if (broken == null) {
                return;
            }
            if (!broken.each.fresh && !broken.over && !dead[node] && !ended) {
                // The node closed it between requests: that is no answer, and the request goes out
                // anew.
                connect(broken);
            } else if (broken.over) {
                if (broken.each.answeredAt < 0) {
                    broken.each.status = EventLog.BROKEN;
                }
            } else {
                broken.over = true;
                ended(broken.each, broken.request, broken.repeat, EventLog.BROKEN);
            }
        }

        @Override
        // A failed write or close shows as the end of its connection.
        @SuppressWarnings("FutureReturnValueIgnored")
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }
}
