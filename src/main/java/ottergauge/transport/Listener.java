// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.channel.socket.nio.NioChannelOption;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.util.function.Consumer;
import ottergauge.protocol.Address;

/**
 * A listening address with its connection limit. It is a channel of Netty and not a server of
 * Vert.x, which would close all of its connections with it: a process that hands over stops
 * listening long before its last connection ends.
 */
final class Listener {

    /** Of one connection in one round of the event loop, so that the others are read too. */
    private static final int MAX_READS_PER_ROUND = 16;

    private final Channel channel;
    private final ConnectionLimiter limiter;

    private Listener(Channel channel, ConnectionLimiter limiter) {
        this.channel = channel;
        this.limiter = limiter;
    }

    /** Listens; {@code shared} lets a second process of this node listen on the same address. */
    static Future<Listener> open(
            EventLoop loop,
            Address address,
            int backlog,
            boolean shared,
            ConnectionLimiter limiter,
            Consumer<ChannelPipeline> adopt) {
        ServerBootstrap bootstrap =
                new ServerBootstrap()
                        .group(loop)
                        .channel(NioServerSocketChannel.class)
                        .option(ChannelOption.SO_BACKLOG, backlog)
                        .option(ChannelOption.SO_REUSEADDR, true)
                        .option(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new ServerChannelRecvByteBufAllocator()
                                        .maxMessagesPerRead(
                                                ConnectionLimiter.MAX_ACCEPTS_PER_ROUND))
                        .childOption(ChannelOption.TCP_NODELAY, true)
                        // Read to the end of what has arrived: that a client has left is then
                        // known before its request is handled.
                        .childOption(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                new AdaptiveRecvByteBufAllocator()
                                        .respectMaybeMoreData(false)
                                        .maxMessagesPerRead(MAX_READS_PER_ROUND))
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Connection.WATER_MARK)
                        .handler(limiter)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel accepted) {
                                        adopt.accept(accepted.pipeline());
                                    }
                                });
        if (shared) {
            bootstrap.option(NioChannelOption.of(StandardSocketOptions.SO_REUSEPORT), true);
        }
        Promise<Listener> opened = Promise.promise();
        bootstrap
                .bind(new InetSocketAddress(address.host(), address.port()))
                .addListener(
                        bound -> {
                            if (bound.isSuccess()) {
                                opened.complete(
                                        new Listener(((ChannelFuture) bound).channel(), limiter));
                            } else {
                                opened.fail(bound.cause());
                            }
                        });
        return opened.future();
    }

    /** Accepts nothing more. */
    // A listening channel has nothing to lose by its close.
    @SuppressWarnings("FutureReturnValueIgnored")
    void close() {
        channel.close();
    }

    /**
     * Accepts what waits in the accept queue, which a close would reset, and closes. It may be
     * called on the event loop only.
     */
    void drainAndClose() {
        if (!channel.isOpen()) {
            return;
        }
        limiter.setLimit(Integer.MAX_VALUE);
        long before;
        do {
            before = limiter.accepted();
            ((AbstractNioChannel.NioUnsafe) channel.unsafe()).read();
        } while (limiter.accepted() > before);
        close();
    }
}
