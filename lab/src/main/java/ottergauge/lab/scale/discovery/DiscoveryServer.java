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
import ottergauge.lab.scale.discovery.VersionedServerList.Answer;

/**
 * Stand-in discovery on sockets: one service that works through calls in turn. A call that opens a
 * watch takes its turn in the line, and is turned away if it would have to wait for too long; a
 * watch that goes on at once does not.
 */
final class DiscoveryServer {

    private static final String PATH = "/registry/instances";
    private static final int BACKLOG = 4_096;
    private static final int MOST_REQUEST = 1 << 16;
    private static final long MOST_WAIT_MS = 60_000;
    private static final long MICROS_A_MS = 1_000;
    private static final double MICROS_A_SECOND = 1e6;
    // A watch that goes on so soon does not stand in the line again.
    private static final long GOES_ON = 200 * MICROS_A_MS;

    private record Watch(ChannelHandlerContext context, long after) {}

    private final Loop loop;
    private final VersionedServerList list;
    private final DiscoveryCounters counts;
    private final double callsPerSecond;
    private final long patience;
    private final Set<Watch> watches = new LinkedHashSet<>();

    /** When each open connection was answered last. */
    private final Map<ChannelHandlerContext, Long> answeredAt = new HashMap<>();

    /** Until when the line is full. */
    private long freeAt;

    /** {@code patience}, in microseconds, is how long a call may stand in the line. */
    DiscoveryServer(
            Loop loop, VersionedServerList list, DiscoveryCounters counts, double callsPerSecond, long patience) {
        this.loop = loop;
        this.list = list;
        this.counts = counts;
        this.callsPerSecond = callsPerSecond;
        this.patience = patience;
    }

    /** Listens, and gives back the address, with its port if that was left open. */
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
                                                        new HttpObjectAggregator(MOST_REQUEST),
                                                        new Calls());
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
                counts.bytes(bytes.readableBytes(), 0);
            }
            context.fireChannelRead(message);
        }

        @Override
        // A failed write or close shows as the end of its connection.
        @SuppressWarnings("FutureReturnValueIgnored")
        public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
            if (message instanceof ByteBuf bytes) {
                counts.bytes(0, bytes.readableBytes());
            }
            context.write(message, promise);
        }
    }

    private final class Calls extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            asked(context, new QueryStringDecoder(request.uri()));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            watches.removeIf(watch -> watch.context() == context);
            answeredAt.remove(context);
        }

        @Override
        // A failed write or close shows as the end of its connection.
        @SuppressWarnings("FutureReturnValueIgnored")
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    private void asked(ChannelHandlerContext context, QueryStringDecoder call) {
        if (!call.path().equals(PATH)) {
            answer(context, HttpResponseStatus.NOT_FOUND, new byte[0]);
            return;
        }
        long after = number(call, "after", -1);
        long wait = Math.min(MOST_WAIT_MS, number(call, "wait_ms", 0)) * MICROS_A_MS;
        counts.asks(((InetSocketAddress) context.channel().remoteAddress()).getHostString(), after);
        long now = loop.now();
        Long before = answeredAt.get(context);
        if (after >= 0 && before != null && now - before <= GOES_ON) {
            counts.call(DiscoveryCounters.Kind.GOES_ON);
            handle(context, after, wait);
            return;
        }
        long turn = Math.max(freeAt, now) + (long) (MICROS_A_SECOND / callsPerSecond);
        if (turn - now > patience) {
            counts.call(DiscoveryCounters.Kind.REFUSED);
            loop.after(
                    patience,
                    () -> answer(context, HttpResponseStatus.SERVICE_UNAVAILABLE, new byte[0]));
            return;
        }
        counts.call(DiscoveryCounters.Kind.OPENS);
        freeAt = turn;
        loop.at(turn, () -> handle(context, after, wait));
    }

    private static long number(QueryStringDecoder call, String name, long absent) {
        List<String> values = call.parameters().get(name);
        try {
            return values == null ? absent : Long.parseLong(values.get(0));
        } catch (NumberFormatException e) {
            return absent;
        }
    }

    private void handle(ChannelHandlerContext context, long after, long wait) {
        if (list.hasNews(after) || wait == 0) {
            tell(context, after);
            return;
        }
        Watch watch = new Watch(context, after);
        watches.add(watch);
        loop.after(
                wait,
                () -> {
                    if (watches.remove(watch)) {
                        tell(context, after);
                    }
                });
    }

    /** Takes a change of the list, tells those who watch, and gives back its version. */
    long change(List<VersionedServerList.Entry> entries) {
        long version = list.change(entries);
        List<Watch> told = new ArrayList<>(watches);
        watches.clear();
        told.forEach(watch -> tell(watch.context(), watch.after()));
        return version;
    }

    private void tell(ChannelHandlerContext context, long after) {
        Answer answer = list.after(after);
        if (context.channel().isActive()) {
            counts.answer(answer.whole(), answer.body().length);
            answeredAt.put(context, loop.now());
        }
        answer(context, HttpResponseStatus.OK, answer.body());
    }

    // A failed write or close shows as the end of its connection.
    @SuppressWarnings("FutureReturnValueIgnored")
    private static void answer(
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
