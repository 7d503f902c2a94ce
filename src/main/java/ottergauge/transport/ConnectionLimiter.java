// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Accepts no connection past a number: the rest waits in the system's queue and takes no
 * descriptor.
 */
final class ConnectionLimiter extends ChannelInboundHandlerAdapter {

    /** How many connections are accepted in one round of the loop. */
    static final int AT_ONCE = 16;

    private final EventLoopMonitor watch;
    private int most = Integer.MAX_VALUE;
    private int open;
    private long accepted;
    private int inRound;
    private long since;

    /** The last round accepted all that it may: there may be more that have waited for as long. */
    private boolean more;

    private Channel listener;

    ConnectionLimiter(EventLoopMonitor watch) {
        this.watch = watch;
    }

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

    /**
     * When, at the earliest, the connection that is being accepted can have come up, by the loop's
     * watch. Of those that wait because the gate is full nothing is known: they count as having
     * come now.
     */
    long since() {
        return since;
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
        if (inRound++ == 0 && !more) {
            since = watch.since();
        }
        ((Channel) connection)
                .closeFuture()
                .addListener(
                        closed -> {
                            open--;
                            update();
                        });
        update();
        ctx.fireChannelRead(connection);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        more = inRound >= AT_ONCE && open < most;
        inRound = 0;
        ctx.fireChannelReadComplete();
    }

    private void update() {
        if (listener != null && listener.config().isAutoRead() != open < most) {
            listener.config().setAutoRead(open < most);
        }
    }
}
