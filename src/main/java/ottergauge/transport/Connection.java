// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.WriteBufferWaterMark;
import io.netty.handler.codec.http.HttpObject;
import io.netty.util.ReferenceCountUtil;
import java.io.IOException;
import ottergauge.routing.CloseReason;

/**
 * An open connection that carries HTTP, and why it is going to end: the first reason given counts.
 */
abstract class Connection extends ChannelInboundHandlerAdapter {

    // How much waits to be written before the other side is not read any more, and from when it is
    // again:
    // this much of each flow is in memory.
    static final WriteBufferWaterMark WATER_MARK = new WriteBufferWaterMark(16 * 1024, 32 * 1024);

    private final String side;
    private ChannelHandlerContext context;
    private String address;
    private CloseReason reason;
    private Runnable whenTakes = () -> {};

    Connection(String side) {
        this.side = side;
    }

    /** A part of a message has come. */
    abstract void take(HttpObject part);

    /** All that had come is taken. */
    abstract void taken();

    /** It has ended. */
    abstract void ended(CloseReason why);

    final ChannelHandlerContext context() {
        return context;
    }

    final String address() {
        return address;
    }

    final void because(CloseReason why) {
        reason = reason == null ? why : reason;
    }

    final void close(CloseReason why) {
        because(why);
        context.close();
    }

    /** Reads nothing for now: what comes waits at the sender's. */
    final void pause() {
        context.channel().config().setAutoRead(false);
    }

    final void resume() {
        context.channel().config().setAutoRead(true);
    }

    /** Whether it takes more at the moment than it still has to write. */
    final boolean takes() {
        return context.channel().isWritable();
    }

    final void whenTakes(Runnable handler) {
        whenTakes = handler;
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ctx) {
        if (takes()) {
            whenTakes.run();
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
            // What a decoder makes of the rest when the connection has ended is no message.
            if (ctx.channel().isActive()) {
                take((HttpObject) message);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        if (ctx.channel().isActive()) {
            taken();
        }
        ctx.fireChannelReadComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable error) {
        close(error instanceof IOException ? CloseReason.RESET : CloseReason.MALFORMED);
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        because(CloseReason.PEER_CLOSED);
        ConnectionLog.ended(side, address, reason);
        ended(reason);
        ctx.fireChannelInactive();
    }
}
