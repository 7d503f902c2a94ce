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
 * A TCP relay that simulates a network link. It opens a connection to the target for each incoming
 * connection and forwards bytes in both directions, as fast as the receiver reads them. While it is
 * cut, it forwards nothing and accepts no connection, like a network partition. The bytes that the
 * operating system has buffered on either side are forwarded once the relay is restored.
 */
final class Relay {

    private static final WriteBufferWaterMark WATER_MARK =
            new WriteBufferWaterMark(64 << 10, 256 << 10);

    private final Loop loop;
    private final InetSocketAddress target;
    private final InetSocketAddress source;
    private final Link link;
    private final Listener listener;

    /** The connections on both sides of this relay. */
    private final Set<Channel> openChannels = new LinkedHashSet<>();

    private boolean cut;
    private long bytesToTarget;
    private long bytesFromTarget;

    /** {@code source} is the local address of connections to the target, or null for any. */
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
        listener = new Listener(loop, address, link, this::connectToTarget);
    }

    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void connectToTarget(ChannelPipeline pipeline) {
        Channel inbound = pipeline.channel();
        inbound.config().setWriteBufferWaterMark(WATER_MARK);
        inbound.config().setAutoRead(false);
        inbound.closeFuture().addListener(closed -> openChannels.remove(inbound));
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
                                        // The handler is added once the connection is established.
                                    }
                                })
                        .connect(target, source);
        connecting.addListener(
                done -> {
                    if (done.isSuccess()) {
                        pair(inbound, connecting.channel());
                    } else {
                        inbound.close();
                    }
                });
    }

    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    private void pair(Channel inbound, Channel outbound) {
        openChannels.add(inbound);
        openChannels.add(outbound);
        outbound.closeFuture().addListener(closed -> openChannels.remove(outbound));
        inbound.pipeline().addLast(new Forwarder(outbound, true));
        outbound.pipeline().addLast(new Forwarder(inbound, false));
        if (inbound.isActive()) {
            updateAutoRead(inbound);
            updateAutoRead(outbound);
        } else {
            outbound.close();
        }
    }

    // Reads from a connection only while the relay is not cut and the other side is writable.
    private void updateAutoRead(Channel channel) {
        Forwarder forwarder = channel.pipeline().get(Forwarder.class);
        channel.config().setAutoRead(!cut && forwarder.other.isWritable());
    }

    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel other;
        private final boolean inbound;

        Forwarder(Channel other, boolean inbound) {
            this.other = other;
            this.inbound = inbound;
        }

        @Override
        // The future may be ignored: the connection closes after a failed write or close.
        @SuppressWarnings("FutureReturnValueIgnored")
        public void channelRead(ChannelHandlerContext context, Object message) {
            int length = ((ByteBuf) message).readableBytes();
            bytesToTarget += inbound ? length : 0;
            bytesFromTarget += inbound ? 0 : length;
            other.writeAndFlush(message);
            if (!other.isWritable()) {
                updateAutoRead(context.channel());
            }
        }

        @Override
        public void channelWritabilityChanged(ChannelHandlerContext context) {
            if (other.isActive()) {
                updateAutoRead(other);
            }
            context.fireChannelWritabilityChanged();
        }

        @Override
        // The future may be ignored: the connection closes after a failed write or close.
        @SuppressWarnings("FutureReturnValueIgnored")
        public void channelInactive(ChannelHandlerContext context) {
            // Flushes what was written to the other side before closing it.
            other.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(sent -> other.close());
        }

        @Override
        // The future may be ignored: the connection closes after a failed write or close.
        @SuppressWarnings("FutureReturnValueIgnored")
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }

    /** Cuts the relay, or restores it. */
    void cut(boolean cuts) {
        cut = cuts;
        link.setSilent(cuts);
        List.copyOf(openChannels).stream().filter(Channel::isActive).forEach(this::updateAutoRead);
    }

    /** Returns the bytes sent to the target and received from it since the last call. */
    long[] readAndResetBytes() {
        long[] sinceLastRead = {bytesToTarget, bytesFromTarget};
        bytesToTarget = 0;
        bytesFromTarget = 0;
        return sinceLastRead;
    }

    void end() {
        listener.end();
    }
}
