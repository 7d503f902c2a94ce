// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.discovery;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPromise;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
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
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ottergauge.lab.net.Loop;
import ottergauge.lab.net.LoopbackAddresses;
import ottergauge.lab.scale.discovery.VersionedServerList.ListResponse;

/**
 * A stand-in for discovery on sockets, which handles calls one after the other. A call that opens a
 * watch or fetches the list queues, and is rejected if it would have to queue for longer than the
 * maximum queue time. A call that continues a watch without a pause does not queue.
 */
final class DiscoveryServer {

    private static final String PATH = "/registry/instances";
    private static final int BACKLOG = 4_096;
    private static final int MAX_REQUEST_BYTES = 1 << 16;
    private static final long MAX_WAIT_MS = 60_000;
    private static final long MICROS_PER_MS = 1_000;
    private static final double MICROS_PER_SECOND = 1e6;
    // A call that arrives within this time, in microseconds, after the last response on its
    // connection continues a watch and does not queue again.
    private static final long RENEWAL_WINDOW = 200 * MICROS_PER_MS;

    private record Watch(ChannelHandlerContext context, long after) {}

    private final Loop loop;
    private final VersionedServerList list;
    private final DiscoveryCounters counters;
    private final double callsPerSecond;
    private final long maxQueueTime;
    private final Set<Watch> watches = new LinkedHashSet<>();

    /** When the last list was sent on each open connection. */
    private final Map<ChannelHandlerContext, Long> lastResponseAt = new HashMap<>();

    /** When the last of the calls that are queued now will have been handled. */
    private long queueEndsAt;

    /** {@code maxQueueTime} is how long a call may queue, in microseconds. */
    DiscoveryServer(
            Loop loop,
            VersionedServerList list,
            DiscoveryCounters counters,
            double callsPerSecond,
            long maxQueueTime) {
        this.loop = loop;
        this.list = list;
        this.counters = counters;
        this.callsPerSecond = callsPerSecond;
        this.maxQueueTime = maxQueueTime;
    }

    /** Starts to listen and returns the address, with the actual port if 0 was given. */
    InetSocketAddress listen(InetSocketAddress address) throws IOException {
        ChannelFuture bound =
                new ServerBootstrap()
                        .group(loop.netty())
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel connection) {
                                        connection
                                                .pipeline()
                                                .addLast(
                                                        new ByteCounter(),
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(MAX_REQUEST_BYTES),
                                                        new RequestHandler());
                                    }
                                })
                        .bind(address)
                        .awaitUninterruptibly();
        if (!bound.isSuccess()) {
            throw new IOException(
                    "cannot listen on " + LoopbackAddresses.text(address), bound.cause());
        }
        return (InetSocketAddress) bound.channel().localAddress();
    }

    private final class ByteCounter extends ChannelDuplexHandler {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            if (message instanceof ByteBuf bytes) {
                counters.countBytes(bytes.readableBytes(), 0);
            }
            context.fireChannelRead(message);
        }

        @Override
        // The future may be ignored: the connection closes after a failed write or close.
        @SuppressWarnings("FutureReturnValueIgnored")
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf bytes) {
                counters.countBytes(0, bytes.readableBytes());
            }
            context.write(message, promise);
        }
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            handleRequest(context, new QueryStringDecoder(request.uri()));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            watches.removeIf(watch -> watch.context() == context);
            lastResponseAt.remove(context);
        }

        @Override
        // The future may be ignored: the connection closes after a failed write or close.
        @SuppressWarnings("FutureReturnValueIgnored")
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private void handleRequest(ChannelHandlerContext context, QueryStringDecoder call) {
        if (!call.path().equals(PATH)) {
            respond(context, HttpResponseStatus.NOT_FOUND, new byte[0]);
            return;
        }
        long after = longParameter(call, "after", -1);
        long wait = Math.min(MAX_WAIT_MS, longParameter(call, "wait_ms", 0)) * MICROS_PER_MS;
        counters.recordVersion(
                ((InetSocketAddress) context.channel().remoteAddress()).getHostString(), after);
        long now = loop.now();
        Long lastResponse = lastResponseAt.get(context);
        if (after >= 0 && lastResponse != null && now - lastResponse <= RENEWAL_WINDOW) {
            counters.countCall(DiscoveryCounters.Kind.GOES_ON);
            respondOrWatch(context, after, wait);
            return;
        }
        long startAt = Math.max(queueEndsAt, now) + (long) (MICROS_PER_SECOND / callsPerSecond);
        if (startAt - now > maxQueueTime) {
            counters.countCall(DiscoveryCounters.Kind.REFUSED);
            loop.after(
                    maxQueueTime,
                    () -> respond(context, HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]));
            return;
        }
        counters.countCall(DiscoveryCounters.Kind.OPENS);
        queueEndsAt = startAt;
        loop.at(startAt, () -> respondOrWatch(context, after, wait));
    }

    private static long longParameter(QueryStringDecoder call, String name, long defaultValue) {
        List<String> values = call.parameters().get(name);
        try {
            return values == null ? defaultValue : Long.parseLong(values.get(0));
        } catch (NumberFormatException e) {
            return defaultValue;
        }
    }

    private void respondOrWatch(ChannelHandlerContext context, long after, long wait) {
        if (list.hasChangesAfter(after) || wait == 0) {
            sendList(context, after);
            return;
        }
        Watch watch = new Watch(context, after);
        watches.add(watch);
        loop.after(
                wait,
                () -> {
                    if (watches.remove(watch)) {
                        sendList(context, after);
                    }
                });
    }

    /** Applies a change to the list, sends it to all watches, and returns the new version. */
    long applyChange(List<VersionedServerList.Entry> entries) {
        long version = list.apply(entries);
        List<Watch> notified = new ArrayList<>(watches);
        watches.clear();
        notified.forEach(watch -> sendList(watch.context(), watch.after()));
        return version;
    }

    private void sendList(ChannelHandlerContext context, long after) {
        ListResponse listResponse = list.after(after);
        if (context.channel().isActive()) {
            counters.countResponse(listResponse.full(), listResponse.body().length);
            lastResponseAt.put(context, loop.now());
        }
        respond(context, HttpResponseStatus.OK, listResponse.body());
    }

    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    private static void respond(
            ChannelHandlerContext context, HttpResponseStatus status, byte[] body) {
        if (context.channel().isActive()) {
            FullHttpResponse response =
                    new DefaultFullHttpResponse(
                            HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
            response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            context.writeAndFlush(response);
        }
    }
}
