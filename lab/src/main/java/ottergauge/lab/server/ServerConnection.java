// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.server;

import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import ottergauge.lab.eventlog.EventLog.Attempt;
import ottergauge.lab.eventlog.EventLog.Cost;
import ottergauge.lab.eventlog.EventLog.Effect;
import ottergauge.lab.eventlog.EventLog.Try;
import ottergauge.lab.scenario.Scenario;
import ottergauge.lab.scenario.Scenario.RequestClass;
import ottergauge.lab.server.ServerModel.Job;
import ottergauge.lab.server.ServerModel.Offer;

/** A node's connection to a stand-in server: one request at a time. */
final class ServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final String NEVER_RAN = "X-Never-Ran";
    private static final long MS = 1_000;

    private final ServerHost host;
    private final int node;
    private final FirstByte firstByte;
    private final boolean overTheTable;
    private boolean first = true;
    private Job job;
    private Attempt attempt;

    ServerConnection(ServerHost host, int node, FirstByte firstByte, boolean overTheTable) {
        this.host = host;
        this.node = node;
        this.firstByte = firstByte;
        this.overTheTable = overTheTable;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
        long began = firstByte.take();
        String path = request.uri();
        if (path.equals("/stats") || path.equals("/health/live")) {
            host.unlessStalled(() -> probe(ctx, path));
            return;
        }
        Try clientAttempt = host.eventLog().tries.get(String.valueOf(request.headers().get("X-Trace-Id")));
        if (clientAttempt == null) {
            host.eventLog()
                    .unknownRequests
                    .add(
                            new ottergauge.lab.eventlog.EventLog.Event(
                                    host.loop().now(),
                                    host.id(),
                                    "a request that no client sent: " + path));
            answer(ctx, HttpResponseStatus.BAD_REQUEST, "", false, false);
            return;
        }
        Attempt here = new Attempt(clientAttempt, node, host.id(), began, host.loop().now());
        clientAttempt.attempts.add(here);
        host.eventLog().attempts.add(here);
        attempt = here;
        String key = request.headers().get("Idempotency-Key");
        long waits = number(request.headers().get("X-Expires-In-Ms")) * MS;
        boolean fresh = first;
        first = false;
        host.unlessStalled(() -> begin(ctx, here, key, here.at + waits, fresh));
    }

    private static long number(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return 60_000;
        }
    }

    private void probe(ChannelHandlerContext ctx, String path) {
        host.eventLog().addCost(host.loop().now(), Cost.PROBE, node, host.id());
        if (!host.scenario().platform().probes()) {
            answer(ctx, HttpResponseStatus.NOT_FOUND, "", false, false);
            return;
        }
        host.loop()
                .after(
                        host.kind().probeWork(),
                        () ->
                                host.unlessStalled(
                                        () ->
                                                answer(
                                                        ctx,
                                                        HttpResponseStatus.OK,
                                                        path.equals("/stats")
                                                                        && host.kind().reports()
                                                                ? host.report()
                                                                : "",
                                                        false,
                                                        false)));
    }

    private void begin(
            ChannelHandlerContext ctx, Attempt here, String key, long over, boolean fresh) {
        if (!ctx.channel().isActive()) {
            here.end = "given up unbegun";
        } else if (overTheTable || host.full()) {
            turnAway(ctx, here, overTheTable ? "table full" : "full");
        } else if (host.fails()) {
            here.end = "error";
            here.endedAt = host.loop().now();
            answer(ctx, HttpResponseStatus.INTERNAL_SERVER_ERROR, "", false, true);
        } else {
            work(ctx, here, key, over, fresh ? host.kind().handshakeWork() : 0);
        }
    }

    private void work(
            ChannelHandlerContext ctx, Attempt here, String key, long over, long handshake) {
        RequestClass type = host.scenario().classes().get(here.clientAttempt.ask.requestClass);
        Job[] own = new Job[1];
        own[0] =
                new Job(
                        here.clientAttempt.ask.work + handshake,
                        type.waits(),
                        over,
                        () -> here.beganAt = host.loop().now(),
                        () -> done(ctx, here, own[0], type, key));
        job = own[0];
        Offer offer = host.model().offer(host.loop().now(), own[0]);
        if (offer == Offer.FULL) {
            turnAway(ctx, here, "full");
        } else if (offer == Offer.FALLEN) {
            here.end = "fallen";
            host.fell();
        }
    }

    private void turnAway(ChannelHandlerContext ctx, Attempt here, String why) {
        here.end = why;
        here.endedAt = host.loop().now();
        host.eventLog().addCost(host.loop().now(), Cost.TURNED_AWAY, node, host.id());
        answer(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "", true, true);
    }

    private void done(
            ChannelHandlerContext ctx, Attempt here, Job own, RequestClass type, String key) {
        boolean givenUp = here.endedAt >= 0;
        if (!givenUp) {
            here.endedAt = host.loop().now();
        }
        if (own.withdrawn) {
            here.end = "out of time unbegun";
            host.unlessStalled(
                    () -> answer(ctx, HttpResponseStatus.GATEWAY_TIMEOUT, "", true, true));
            return;
        }
        String what = type.effect() == Scenario.Effect.KEYED ? key : here.clientAttempt.id;
        if (type.effect() != Scenario.Effect.KEYED
                || host.repeats().takes(here.beganAt, what, type.window())) {
            host.eventLog()
                    .effects
                    .add(
                            new Effect(
                                    here.beganAt,
                                    what,
                                    type.group() == Scenario.Group.ALL ? "all" : host.zone(),
                                    host.id(),
                                    here));
        }
        here.end = givenUp ? "given up, ran on" : "served";
        if (givenUp) {
            return;
        }
        if (host.losesAnswer()) {
            here.end = "answer lost";
        } else {
            host.unlessStalled(
                    () ->
                            answer(
                                    ctx,
                                    HttpResponseStatus.OK,
                                    "made for " + here.clientAttempt.id,
                                    false,
                                    true));
        }
    }

    // A failed write or close shows as the end of its connection.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void answer(
            ChannelHandlerContext ctx,
            HttpResponseStatus status,
            String body,
            boolean neverRan,
            boolean report) {
        job = null;
        attempt = null;
        if (!ctx.channel().isActive()) {
            return;
        }
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1,
                        status,
                        Unpooled.copiedBuffer(body, StandardCharsets.UTF_8));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, response.content().readableBytes());
        if (neverRan) {
            response.headers().set(NEVER_RAN, "1");
        }
        if (report && host.kind().reports() && host.scenario().platform().reports()) {
            response.headers().set("Endpoint-Load-Metrics", host.report());
        }
        if (overTheTable) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
            ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        } else {
            ctx.writeAndFlush(response);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (job != null) {
            host.model().withdraw(job);
        }
        if (attempt != null && attempt.endedAt < 0) {
            attempt.end = "given up";
            attempt.endedAt = host.loop().now();
        }
    }

    @Override
    // A failed write or close shows as the end of its connection.
    @SuppressWarnings("FutureReturnValueIgnored")
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
