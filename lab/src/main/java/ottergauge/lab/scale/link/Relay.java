// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.link;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import ottergauge.lab.net.Link;
import ottergauge.lab.net.Listener;
import ottergauge.lab.net.Loop;

/**
 * One way between two places: what connects to its address is connected to its target, and bytes go
 * on either way as fast as the other side takes them. Cut off, it moves nothing and answers no
 * connection, as if the network between had gone; what the systems hold at either side moves once
 * it heals.
 */
final class Relay {

    private static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(64 << 10, 256 << 10);

    private final Loop loop;
    private final InetSocketAddress target;
    private final InetSocketAddress source;
    private final Link link;
    private final Listener listener;

    /** The connections at this relay's two sides. */
    private final Set<Channel> open = new LinkedHashSet<>();

    private boolean cut;
    private long bytesThere;
    private long bytesBack;

    /** {@code source} is where it connects to the target from; null for wherever. */
    Relay(
            Loop loop,
            Link link,
            InetSocketAddress address,
            InetSocketAddress target,
            InetSocketAddress source)
            throws IOException {
        this.loop = loop;
        this.target = target;
        this.source = source;
        this.link = link;
        listener = new Listener(loop, address, link, this::accepted);
    }

    // A failed write or close shows as the end of its connection.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void accepted(ChannelPipeline pipeline) {
        Channel near = pipeline.channel();
        near.config().setWriteBufferWaterMark(WATER_MARK);
        near.config().setAutoRead(false);
        near.closeFuture().addListener(closed -> open.remove(near));
        ChannelFuture connecting =
                new Bootstrap()
                        .group(loop.netty())
                        .channel(NioSocketChannel.class)
                        .option(ChannelOption.TCP_NODELAY, true)
                        .option(ChannelOption.AUTO_READ, false)
                        .option(ChannelOption.WRITE_BUFFER_WATER_MARK, WATER_MARK)
                        .handler(
                                new ChannelInitializer<>() {
                                    @Override
                                    protected void initChannel(Channel channel) {
                                        // Its handler comes with the connection.
                                    }
                                })
                        .connect(target, source);
        connecting.addListener(
                done -> {
                    if (done.isSuccess()) {
                        join(near, connecting.channel());
                    } else {
                        near.close();
                    }
                });
    }

    // A failed write or close shows as the end of its connection.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void join(Channel near, Channel far) {
        open.add(near);
        open.add(far);
        far.closeFuture().addListener(closed -> open.remove(far));
        near.pipeline().addLast(new Side(far, true));
        far.pipeline().addLast(new Side(near, false));
        if (near.isActive()) {
            read(near);
            read(far);
        } else {
            far.close();
        }
    }

    // Reads on if it may, and if the other side takes what comes.
    private void read(Channel channel) {
        Side side = channel.pipeline().get(Side.class);
        channel.config().setAutoRead(!cut && side.other.isWritable());
    }

    private final class Side extends ChannelInboundHandlerAdapter {
        private final Channel other;
        private final boolean near;

        Side(Channel other, boolean near) {
            this.other = other;
            this.near = near;
        }

        @Override
        // A failed write or close shows as the end of its connection.
        @SuppressWarnings("FutureReturnValueIgnored")
        public void channelRead(ChannelHandlerContext context, Object message) {
            int length = ((ByteBuf) message).readableBytes();
            bytesThere += near ? length : 0;
            bytesBack += near ? 0 : length;
            other.writeAndFlush(message);
            if (!other.isWritable()) {
                read(context.channel());
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (other.isActive()) {
                read(other);
            }
            context.fireChannelWritabilityChanged();
        }

        @Override
        // A failed write or close shows as the end of its connection.
        @SuppressWarnings("FutureReturnValueIgnored")
        public void channelInactive(ChannelHandlerContext context) {
            // What was written to the other side goes out before it is closed.
            other.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(sent -> other.close());
        }

        @Override
        // A failed write or close shows as the end of its connection.
        @SuppressWarnings("FutureReturnValueIgnored")
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Cuts it off, or heals it. */
    void cut(boolean cuts) {
        cut = cuts;
        link.setSilent(cuts);
        List.copyOf(open).stream().filter(Channel::isActive).forEach(this::read);
    }

    /** The bytes that have gone to the target, and back, since this was asked last. */
    long[] takeBytes() {
        long[] taken = {bytesThere, bytesBack};
        bytesThere = 0;
        bytesBack = 0;
        return taken;
    }

    void end() {
        listener.end();
    }
}
