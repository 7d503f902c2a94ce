// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.standin;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
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
import java.net.InetSocketAddress;
import ottergauge.capacity.workload.Loopback;
import ottergauge.protocol.Address;

/** An HTTP/1.1 server for requests with small bodies, on a loopback port and one event loop. */
final class HttpListener implements AutoCloseable {

    /** Handles the requests of a stand-in, on its event loop. */
    interface Handler {

        void requestReceived(Channel connection, FullHttpRequest request);

        /** Called after a connection has closed. */
        default void connectionClosed(Channel connection) {}
    }

    private static final int MAX_BODY_BYTES = 1 << 16;
    private static final int BACKLOG = 1024;

    private final TrafficCounter counter = new TrafficCounter();
    private final Channel listener;

    HttpListener(EventLoop loop, Handler handler) {
        listener =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, BACKLOG)
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel connection) {
                                        connection
                                                .pipeline()
                                                .addLast(
                                                        counter,
                                                        new HttpServerCodec(),
                                                        new HttpObjectAggregator(MAX_BODY_BYTES),
                                                        new RequestHandler(handler));
                                    }
                                })
                        .bind(Loopback.HOST, 0)
                        .syncUninterruptibly()
                        .channel();
    }

    private final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {
        private final Handler handler;

        private RequestHandler(Handler handler) {
            this.handler = handler;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext ctx, FullHttpRequest request) {
            counter.countRequest();
            handler.requestReceived(ctx.channel(), request);
        }

        @Override
        public void channelInactive(ChannelHandlerContext ctx) {
            handler.connectionClosed(ctx.channel());
        }

        @Override
        // The future may be ignored: the connection closes after a failed write or close.
        @SuppressWarnings("FutureReturnValueIgnored")
        public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
            ctx.close();
        }
    }

    Address address() {
        return Loopback.port(((InetSocketAddress) listener.localAddress()).getPort());
    }

    Traffic traffic() {
        return counter.traffic();
    }

    /** Creates a response with this body. */
    static FullHttpResponse response(HttpResponseStatus status, byte[] body) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(
                        HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        return response;
    }

    @Override
    public void close() {
        listener.close().syncUninterruptibly();
    }
}
