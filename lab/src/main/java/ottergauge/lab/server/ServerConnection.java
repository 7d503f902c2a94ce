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
import ottergauge.lab.eventlog.EventLog.ClientAttempt;
import ottergauge.lab.eventlog.EventLog.Cost;
import ottergauge.lab.eventlog.EventLog.Effect;
import ottergauge.lab.eventlog.EventLog.ServerAttempt;
import ottergauge.lab.scenario.Scenario;
import ottergauge.lab.scenario.Scenario.RequestClass;
import ottergauge.lab.server.ServerModel.Admission;
import ottergauge.lab.server.ServerModel.Job;

/** A node's connection to a server stand-in; it carries one request at a time. */
final class ServerConnection extends SimpleChannelInboundHandler<FullHttpRequest> {

    private static final String NEVER_RAN = "X-Never-Ran";
    private static final long MS = 1_000;

    private final ServerStandIn server;
    private final int node;
    private final FirstByteRecorder firstByte;
    private final boolean overConnectionLimit;
    private boolean firstRequest = true;
    private Job currentJob;
    private ServerAttempt currentAttempt;

    ServerConnection(
            ServerStandIn server,
            int node,
            FirstByteRecorder firstByte,
            boolean overConnectionLimit) {
        this.server = server;
        this.node = node;
        this.firstByte = firstByte;
        this.overConnectionLimit = overConnectionLimit;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest httpRequest) {
        long firstByteAt = firstByte.takeTime();
        String path = httpRequest.uri();
        if (path.equals("/stats") || path.equals("/health/live")) {
            server.runUnlessStalled(() -> probe(ctx, path));
            return;
        }
        ClientAttempt clientAttempt =
                server.eventLog()
                        .clientAttempts
                        .get(String.valueOf(httpRequest.headers().get("X-Trace-Id")));
        if (clientAttempt == null) {
            server.eventLog()
                    .unknownRequests
                    .add(
                            new ottergauge.lab.eventlog.EventLog.Event(
                                    server.loop().now(),
                                    server.id(),
                                    "a request that no client sent: " + path));
            respond(ctx, HttpResponseStatus.BAD_REQUEST, "", false, false);
            return;
        }
        ServerAttempt serverAttempt =
                new ServerAttempt(
                        clientAttempt, node, server.id(), firstByteAt, server.loop().now());
        clientAttempt.serverAttempts.add(serverAttempt);
        server.eventLog().serverAttempts.add(serverAttempt);
        currentAttempt = serverAttempt;
        String key = httpRequest.headers().get("Idempotency-Key");
        long waitTime = number(httpRequest.headers().get("X-Expires-In-Ms")) * MS;
        boolean firstOnConnection = firstRequest;
        firstRequest = false;
        server.runUnlessStalled(
                () ->
                        startRequest(
                                ctx,
                                serverAttempt,
                                key,
                                serverAttempt.at + waitTime,
                                firstOnConnection));
    }

    private static long number(String text) {
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException e) {
            return 60_000;
        }
    }

    private void probe(ChannelHandlerContext ctx, String path) {
        server.eventLog().addCost(server.loop().now(), Cost.PROBE, node, server.id());
        if (!server.scenario().platform().probes()) {
            respond(ctx, HttpResponseStatus.NOT_FOUND, "", false, false);
            return;
        }
        server.loop()
                .after(
                        server.kind().probeWork(),
                        () ->
                                server.runUnlessStalled(
                                        () ->
                                                respond(
                                                        ctx,
                                                        HttpResponseStatus.OK,
                                                        path.equals("/stats")
                                                                        && server.kind().reports()
                                                                ? server.loadReport()
                                                                : "",
                                                        false,
                                                        false)));
    }

    private void startRequest(
            ChannelHandlerContext ctx,
            ServerAttempt serverAttempt,
            String key,
            long deadline,
            boolean firstOnConnection) {
        if (!ctx.channel().isActive()) {
            serverAttempt.end = "given up unbegun";
        } else if (overConnectionLimit || server.isFull()) {
            reject(ctx, serverAttempt, overConnectionLimit ? "table full" : "full");
        } else if (server.failsRequest()) {
            serverAttempt.end = "error";
            serverAttempt.endedAt = server.loop().now();
            respond(ctx, HttpResponseStatus.INTERNAL_SERVER_ERROR, "", false, true);
        } else {
            work(
                    ctx,
                    serverAttempt,
                    key,
                    deadline,
                    firstOnConnection ? server.kind().handshakeWork() : 0);
        }
    }

    private void work(
            ChannelHandlerContext ctx,
            ServerAttempt serverAttempt,
            String key,
            long deadline,
            long handshake) {
        RequestClass type =
                server.scenario().classes().get(serverAttempt.clientAttempt.request.requestClass);
        Job[] ownJob = new Job[1];
        ownJob[0] =
                new Job(
                        serverAttempt.clientAttempt.request.work + handshake,
                        type.waitTime(),
                        deadline,
                        () -> serverAttempt.beganAt = server.loop().now(),
                        () -> done(ctx, serverAttempt, ownJob[0], type, key));
        currentJob = ownJob[0];
        Admission offer = server.model().offer(server.loop().now(), ownJob[0]);
        if (offer == Admission.FULL) {
            reject(ctx, serverAttempt, "full");
        } else if (offer == Admission.COLLAPSED) {
            serverAttempt.end = "fallen";
            server.collapse();
        }
    }

    private void reject(ChannelHandlerContext ctx, ServerAttempt serverAttempt, String reason) {
        serverAttempt.end = reason;
        serverAttempt.endedAt = server.loop().now();
        server.eventLog().addCost(server.loop().now(), Cost.TURNED_AWAY, node, server.id());
        respond(ctx, HttpResponseStatus.SERVICE_UNAVAILABLE, "", true, true);
    }

    private void done(
            ChannelHandlerContext ctx,
            ServerAttempt serverAttempt,
            Job ownJob,
            RequestClass type,
            String key) {
        boolean abandoned = serverAttempt.endedAt >= 0;
        if (!abandoned) {
            serverAttempt.endedAt = server.loop().now();
        }
        if (ownJob.cancelled) {
            serverAttempt.end = "out of time unbegun";
            server.runUnlessStalled(
                    () -> respond(ctx, HttpResponseStatus.GATEWAY_TIMEOUT, "", true, true));
            return;
        }
        String effectKey =
                type.effect() == Scenario.Effect.KEYED ? key : serverAttempt.clientAttempt.id;
        if (type.effect() != Scenario.Effect.KEYED
                || server.deduplicationCache()
                        .isFirst(serverAttempt.beganAt, effectKey, type.window())) {
            server.eventLog()
                    .effects
                    .add(
                            new Effect(
                                    serverAttempt.beganAt,
                                    effectKey,
                                    type.group() == Scenario.Group.ALL ? "all" : server.zone(),
                                    server.id(),
                                    serverAttempt));
        }
        serverAttempt.end = abandoned ? "given up, ran on" : "served";
        if (abandoned) {
            return;
        }
        if (server.losesResponse()) {
            serverAttempt.end = "answer lost";
        } else {
            server.runUnlessStalled(
                    () ->
                            respond(
                                    ctx,
                                    HttpResponseStatus.OK,
                                    "made for " + serverAttempt.clientAttempt.id,
                                    false,
                                    true));
        }
    }

    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void respond(
            ChannelHandlerContext ctx,
            HttpResponseStatus status,
            String body,
            boolean neverRan,
            boolean loadReport) {
        currentJob = null;
        currentAttempt = null;
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
        if (loadReport && server.kind().reports() && server.scenario().platform().reports()) {
            response.headers().set("Endpoint-Load-Metrics", server.loadReport());
        }
        if (overConnectionLimit) {
            response.headers().set(HttpHeaderNames.CONNECTION, "close");
            ctx.writeAndFlush(response).addListener(ChannelFutureListener.CLOSE);
        } else {
            ctx.writeAndFlush(response);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        if (currentJob != null) {
            server.model().cancel(currentJob);
        }
        if (currentAttempt != null && currentAttempt.endedAt < 0) {
            currentAttempt.end = "given up";
            currentAttempt.endedAt = server.loop().now();
        }
    }

    @Override
    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        ctx.close();
    }
}
