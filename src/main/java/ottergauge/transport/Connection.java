// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.channel.nio.AbstractNioChannel;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.Future;
import java.io.IOException;
import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import ottergauge.routing.CloseReason;

/** An open HTTP connection. If several reasons are given for its end, the first one is reported. */
abstract class Connection extends ChannelInboundHandlerAdapter {

    /**
     * Limits for the bytes that wait to be written to a connection. Above the high-water mark, the
     * node stops reading the source of a relayed body; below the low-water mark, it reads on. This
     * bounds the memory of each relayed body.
     */
    static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16 * 1024, 32 * 1024);

    /**
     * Limits one read of a connection. Together with {@link #WATER_MARK} it bounds the memory of a
     * relayed body: the bytes that wait when the node reads for the last time, that read, and the
     * buffer that is partly written.
     */
    static final int MAX_READ_BYTES = 16 * 1024;

    private static final int MIN_READ_BYTES = 64;
    private static final int FIRST_READ_BYTES = 2048;

    private static final Logger LOG = LoggerFactory.getLogger(Connection.class);

    private final String side;
    private ChannelHandlerContext context;
    private String address;
    private CloseReason closeReason;
    private Runnable writableHandler = () -> {};
    private final ChannelFutureListener closeOnFailure = this::closeOnFailure;

    /** {@code side} is the peer's role, for the log. */
    Connection(String side) {
        this.side = side;
    }

    /** Returns the sizes of a connection's reads, which adapt to the bytes that arrive. */
    static AdaptiveRecvByteBufAllocator readSizes() {
        return new AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, FIRST_READ_BYTES, MAX_READ_BYTES);
    }

    /** Handles a part of a message; its buffer is released afterwards. */
    abstract void onPart(HttpObject part);

    /** Handles the end of a read, after all parts that had arrived were handled. */
    abstract void onReadComplete();

    /** Handles the connection's end. */
    abstract void onClosed(CloseReason reason);

    /** The request on this connection whose response is not complete, if any. */
    Optional<OpenExchange> openExchange() {
        return Optional.empty();
    }

    final ChannelHandlerContext context() {
        return context;
    }

    /** The peer's address. */
    final String address() {
        return address;
    }

    /** Sets the reason for the connection's end, unless one has been set before. */
    final void setCloseReason(CloseReason reason) {
        closeReason = closeReason == null ? reason : closeReason;
    }

    // If closing fails, the connection has already ended.
    @SuppressWarnings("FutureReturnValueIgnored")
    final void close(CloseReason reason) {
        setCloseReason(reason);
        context.close();
    }

    /** Writes a message; a failure ends the connection. */
    final void writeAndFlush(HttpObject message) {
        context.writeAndFlush(message).addListener(closeOnFailure);
    }

    /** The same; the handler is called once the message is written, or writing it has failed. */
    final void writeAndFlush(HttpObject message, ChannelFutureListener handler) {
        context.writeAndFlush(message).addListener(closeOnFailure).addListener(handler);
    }

    /**
     * Writes a message, or a part of one, that a later flush sends; a failure ends the connection.
     */
    final void write(HttpObject message) {
        context.write(message).addListener(closeOnFailure);
    }

    /** The same; the handler is called once the message is written, or writing it has failed. */
    final void write(HttpObject message, ChannelFutureListener handler) {
        context.write(message).addListener(closeOnFailure).addListener(handler);
    }

    // A write can also fail for lack of memory, which Netty does not close the connection for.
    // Anything written after it would be read as what is missing.
    private void closeOnFailure(Future<? super Void> written) {
        if (!written.isSuccess()) {
            close(CloseReason.RESET);
        }
    }

    /** Stops reading, so that TCP flow control holds back the sender. */
    final void pauseReading() {
        context.channel().config().setAutoRead(false);
    }

    final void resumeReading() {
        context.channel().config().setAutoRead(true);
    }

    /** Reads what has arrived, up to one read, although reading may be paused. */
    final void readOnce() {
        ((AbstractNioChannel.NioUnsafe) context.channel().unsafe()).read();
    }

    final boolean isOpen() {
        return context.channel().isActive();
    }

    /**
     * Whether more may be written. This is false from the moment at which the bytes that wait to be
     * written exceed the high-water mark until they fall below the low-water mark.
     */
    final boolean isWritable() {
        return context.channel().isWritable();
    }

    /** Whether any bytes wait to be written. */
    final boolean hasUnwrittenBytes() {
        ChannelOutboundBuffer outbound = context.channel().unsafe().outboundBuffer();
        return outbound != null && outbound.totalPendingWriteBytes() > 0;
    }

    /** Replaces the handler that runs when the connection becomes writable again. */
    final void onWritable(Runnable handler) {
        writableHandler = handler;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (isWritable()) {
            writableHandler.run();
        }
        ctx.fireChannelWritabilityChanged();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
        address = String.valueOf(ctx.channel().remoteAddress()).substring(1);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        try {
            // After the connection's end, a decoder may emit leftover bytes as a message, which is
            // ignored.
            if (ctx.channel().isActive()) {
                onPart((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (ctx.channel().isActive()) {
            onReadComplete();
        }
        ctx.fireChannelReadComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable error) {
        if (error instanceof Error) {
            LOG.error("side={} peer={}: {}", side, address, error.toString());
        }
        close(error instanceof IOException ? CloseReason.RESET : CloseReason.MALFORMED);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        setCloseReason(CloseReason.PEER_CLOSED);
        openExchange()
                .ifPresentOrElse(
                        exchange -> ConnectionLog.ended(side, address, closeReason, exchange),
                        () -> ConnectionLog.ended(side, address, closeReason));
        onClosed(closeReason);
        ctx.fireChannelInactive();
    }
}
