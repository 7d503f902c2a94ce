// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.load;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import ottergauge.capacity.workload.NodeConfiguration;
import ottergauge.protocol.Address;
import ottergauge.protocol.Headers;

/**
 * An open-loop HTTP client for one address: the send times of requests do not depend on responses.
 * A request opens a connection if there is no idle one. All state belongs to one event loop.
 */
public final class OpenLoopClient implements AutoCloseable {

    private static final long REQUEST_TIMEOUT_MS = 1_000;
    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final int SIGNIFICANT_DIGITS = 3;
    private static final long MAX_RECORDED_NANOS = TimeUnit.SECONDS.toNanos(60);
    // Limit of open connections, idle ones included. It bounds the load on a target that does not
    // respond: a request that would need one more connection fails at once.
    private static final int MAX_CONNECTIONS = 256;

    private final EventLoop loop;
    private final Address target;
    private final int classes;
    private final String name;
    private final Deque<Channel> idle = new ArrayDeque<>();
    private final Set<Channel> connections = new HashSet<>();
    private Histogram served = histogram();
    private Histogram sendDelays = histogram();
    private long sent;
    private long inFlight;
    private long failed;

    /**
     * Creates a client. Its requests cycle through {@code classes} request classes, and {@code
     * name} is a part of their trace ids.
     */
    public OpenLoopClient(EventLoop loop, Address target, int classes, String name) {
        this.loop = loop;
        this.target = target;
        this.classes = classes;
        this.name = name;
    }

    private static Histogram histogram() {
        return new Histogram(MAX_RECORDED_NANOS, SIGNIFICANT_DIGITS);
    }

    /**
     * Sends one request now. Its latency counts from {@code intendedAt}, a value of {@link
     * System#nanoTime}.
     */
    public void send(long intendedAt) {
        loop.execute(() -> sendNow(intendedAt));
    }

    private void sendNow(long intendedAt) {
        inFlight++;
        sendDelays.recordValue(Math.min(MAX_RECORDED_NANOS, System.nanoTime() - intendedAt));
        Channel reused = idle.pollLast();
        if (reused != null) {
            write(reused, intendedAt);
        } else if (connections.size() >= MAX_CONNECTIONS) {
            finish(false, intendedAt);
        } else {
            connect(intendedAt);
        }
    }

    private void connect(long intendedAt) {
        new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .handler(
                        new ChannelInitializer<>() {
                            @Override
                            protected void initChannel(Channel connection) {
                                connection
                                        .pipeline()
                                        .addLast(
                                                new HttpClientCodec(),
                                                new HttpObjectAggregator(MAX_BODY_BYTES),
                                                new ResponseHandler());
                            }
                        })
                .connect(target.host(), target.port())
                .addListener(
                        connected -> {
                            if (connected.isSuccess()) {
                                Channel connection = ((ChannelFuture) connected).channel();
                                connections.add(connection);
                                write(connection, intendedAt);
                            } else {
                                finish(false, intendedAt);
                            }
                        });
    }

    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void write(Channel connection, long intendedAt) {
        connection.pipeline().get(ResponseHandler.class).intendedAt = intendedAt;
        FullHttpRequest request =
                new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, "/api");
        request.headers()
                .set(HttpHeaderNames.HOST, target.toString())
                .set(Headers.TRACE_ID, name + "-" + ++sent)
                .set(Headers.REQUEST_CLASS, NodeConfiguration.className((int) (sent % classes)))
                .set(Headers.EXPIRES_IN_MS, REQUEST_TIMEOUT_MS);
        connection.writeAndFlush(request);
    }

    private void finish(boolean success, long intendedAt) {
        inFlight--;
        if (success) {
            served.recordValue(Math.min(MAX_RECORDED_NANOS, System.nanoTime() - intendedAt));
        } else {
            failed++;
        }
    }

    /** Handles the responses of one connection, which carries one request at a time. */
    private final class ResponseHandler extends SimpleChannelInboundHandler<FullHttpResponse> {
        private static final long NO_REQUEST = Long.MIN_VALUE;
        private long intendedAt = NO_REQUEST;

        @Override
        // The future may be ignored: the connection closes after a failed write or close.
        @SuppressWarnings("FutureReturnValueIgnored")
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpResponse answer) {
            long requestIntendedAt = intendedAt;
            intendedAt = NO_REQUEST;
            finish(answer.status().equals(HttpResponseStatus.OK), requestIntendedAt);
            if (HttpUtil.isKeepAlive(answer)) {
                idle.add(ctx.channel());
            } else {
                ctx.close();
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            connections.remove(ctx.channel());
            idle.remove(ctx.channel());
            if (intendedAt != NO_REQUEST) {
                finish(false, intendedAt);
                intendedAt = NO_REQUEST;
            }
        }

        @Override
        // The future may be ignored: the connection closes after a failed write or close.
        @SuppressWarnings("FutureReturnValueIgnored")
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    /**
     * Returns the results since the last call and starts new histograms. Requests in flight are
     * counted when they end.
     */
    public Latencies collect() {
        return loop.submit(
                        () -> {
                            Latencies collected = new Latencies(served, failed, sendDelays);
                            served = histogram();
                            sendDelays = histogram();
                            failed = 0;
                            return collected;
                        })
                .syncUninterruptibly()
                .getNow();
    }

    /**
     * Waits until no request is in flight. Returns false if requests are still in flight after this
     * time.
     */
    public boolean awaitResponses(long milliseconds) throws InterruptedException {
        long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(milliseconds);
        while (loop.submit(() -> inFlight).syncUninterruptibly().getNow() > 0) {
            if (System.nanoTime() > deadline) {
                return false;
            }
            TimeUnit.MILLISECONDS.sleep(1);
        }
        return true;
    }

    @Override
    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    public void close() {
        loop.submit(() -> Set.copyOf(connections).forEach(Channel::close)).syncUninterruptibly();
    }
}
