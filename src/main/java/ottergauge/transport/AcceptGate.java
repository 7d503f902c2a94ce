// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** Accepts no connection past a number: the rest waits in the system's queue and takes no descriptor. */
final class AcceptGate extends ChannelInboundHandlerAdapter {

    private int most = Integer.MAX_VALUE;
    private int open;
    private long accepted;
    private Channel listener;

    void most(int connections) {
        most = connections;
        update();
    }

    boolean full() {
        return open >= most;
    }

    /** How many connections have been accepted so far. */
    long accepted() {
        return accepted;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        listener = ctx.channel();
        update();
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object connection) {
        open++;
        accepted++;
        ((Channel) connection).closeFuture().addListener(closed -> {
            open--;
            update();
        });
        update();
        ctx.fireChannelRead(connection);
    }

    private void update() {
        if (listener != null && listener.config().isAutoRead() != open < most) {
            listener.config().setAutoRead(open < most);
        }
    }
}
