// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.bootstrap.ServerBootstrap;
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
 * A listening socket with its connection limit. It is a Netty channel because a Vert.x server
 * closes its connections when it stops listening. During a hot restart, the old process stops
 * listening long before its last connection ends.
 */
final class Listener {

    /**
     * The limit on the reads of one connection in one round of the event loop, so that the other
     * connections are read too.
     */
    private static final int MAX_READS_PER_ROUND = 16;

    private final Channel channel;
    private final ConnectionLimiter limiter;

    private Listener(Channel channel, ConnectionLimiter limiter) {
        this.channel = channel;
        this.limiter = limiter;
    }

    /**
     * Starts listening; {@code shared} lets a second process of this node listen on the same
     * address.
     */
    static Future<Listener> open(
            EventLoop loop,
            Address address,
            int backlog,
            boolean shared,
            ConnectionLimiter limiter,
            Consumer<ChannelPipeline> acceptedHandler) {
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
                        // All input that has arrived is read at once. The node then knows that a
                        // client has disconnected before it handles the client's request.
                        .childOption(
                                ChannelOption.RECVBUF_ALLOCATOR,
                                Connection.readSizes()
                                        .respectMaybeMoreData(false)
                                        .maxMessagesPerRead(MAX_READS_PER_ROUND))
                        .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, Connection.WATER_MARK)
                        .handler(limiter)
                        .childHandler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel accepted) {
                                        acceptedHandler.accept(accepted.pipeline());
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

    /** Stops accepting connections. */
    // The result does not matter: a listening channel has no data to lose.
    @SuppressWarnings("FutureReturnValueIgnored")
    void close() {
        channel.close();
    }

    /**
     * Accepts the connections in the accept queue and then stops listening. If the socket was
     * closed at once, the operating system would reset these connections. Must be called on the
     * event loop.
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
