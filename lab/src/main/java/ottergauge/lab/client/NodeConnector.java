// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.client;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpObjectAggregator;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.function.IntConsumer;
import ottergauge.lab.net.Link;
import ottergauge.lab.net.LinkHandler;
import ottergauge.lab.net.Loop;

/** Opens connections to nodes, each through its simulated link. */
final class NodeConnector {

    private static final int MAX_BODY = 1 << 20;
    private static final int CONNECT_TIMEOUT_MS = 1_000;

    private final Loop loop;
    private final List<InetSocketAddress> nodes;
    private final List<Link> links;

    /** Nodes are numbered from 1: the first entries of the lists belong to node 1. */
    NodeConnector(Loop loop, List<InetSocketAddress> nodes, List<Link> links) {
        this.loop = loop;
        this.nodes = nodes;
        this.links = links;
    }

    /** Connects to a node. {@code handler} is added to the pipeline after the HTTP codec. */
    ChannelFuture connect(int node, ChannelHandler handler) {
        Link link = links.get(node - 1);
        return new Bootstrap()
                .group(loop.netty())
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(
                        new ChannelInitializer<Channel>() {
                            @Override
                            protected void initChannel(Channel channel) {
                                channel.pipeline()
                                        .addLast(
                                                new LinkHandler(loop, link, true),
                                                new HttpClientCodec(),
                                                new HttpObjectAggregator(MAX_BODY),
                                                handler);
                            }
                        })
                .connect(nodes.get(node - 1));
    }

    /**
     * Sends one request on a connection of its own. {@code onStatus} gets the response status, or 0
     * if no response came in time; it may be called more than once.
     */
    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    void sendOnce(int node, FullHttpRequest request, long timeout, IntConsumer onStatus) {
        ChannelFuture connecting =
                connect(
                        node,
                        new SimpleChannelInboundHandler<FullHttpResponse>() {
                            @Override
                            // The future may be ignored: the connection closes after a failed write
                            // or close.
                            @SuppressWarnings("FutureReturnValueIgnored")
                            protected void channelRead0(
                                    ChannelHandlerContext ctx, FullHttpResponse response) {
                                onStatus.accept(response.status().code());
                                ctx.close();
                            }

                            @Override
                            // The future may be ignored: the connection closes after a failed write
                            // or close.
                            @SuppressWarnings("FutureReturnValueIgnored")
                            public void channelActive(ChannelHandlerContext ctx) {
                                ctx.writeAndFlush(request);
                            }

                            @Override
                            public void channelInactive(ChannelHandlerContext ctx) {
                                onStatus.accept(0);
                            }

                            @Override
                            // The future may be ignored: the connection closes after a failed write
                            // or close.
                            @SuppressWarnings("FutureReturnValueIgnored")
                            public void exceptionCaught(
                                    ChannelHandlerContext ctx, Throwable cause) {
                                ctx.close();
                            }
                        });
        connecting.addListener(
                done -> {
                    if (!done.isSuccess()) {
                        onStatus.accept(0);
                    }
                });
        loop.after(
                timeout,
                () -> {
                    onStatus.accept(0);
                    connecting.channel().close();
                });
    }
}
