// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/**
 * Accepts connections up to a limit; further ones wait in the operating system's accept queue,
 * where they use no descriptor. This is the handler of a listening channel.
 */
final class ConnectionLimiter extends ChannelInboundHandlerAdapter {

    /** The most connections that are accepted in one round of the event loop. */
    static final int MAX_ACCEPTS_PER_ROUND = 16;

    private final EventLoopMonitor monitor;
    private int limit = Integer.MAX_VALUE;
    private int open;
    private long accepted;
    private int acceptedInRound;
    private long earliestArrival;

    /**
     * Whether the last round accepted the most connections that it may. Connections that are still
     * in the accept queue may have waited for as long, so {@link #earliestArrival} does not change.
     */
    private boolean moreWaiting;

    private Channel listener;

    ConnectionLimiter(EventLoopMonitor monitor) {
        this.monitor = monitor;
    }

    void setLimit(int connections) {
        limit = connections;
        updateAutoRead();
    }

    boolean isFull() {
        return open >= limit;
    }

    /** How many connections have been accepted so far. */
    long accepted() {
        return accepted;
    }

    /**
     * The earliest instant, by the monitor's clock, at which the connection that is being accepted
     * can have been established. For connections that waited because the limit was reached, this is
     * unknown; they count as established now.
     */
    long earliestArrival() {
        return earliestArrival;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        listener = ctx.channel();
        updateAutoRead();
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object connection) {
        open++;
        accepted++;
        if (acceptedInRound == 0 && !moreWaiting) {
            earliestArrival = monitor.earliestArrival();
        }
        acceptedInRound++;
        ((Channel) connection)
                .closeFuture()
                .addListener(
                        closed -> {
                            open--;
                            updateAutoRead();
                        });
        updateAutoRead();
        ctx.fireChannelRead(connection);
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext ctx) {
        moreWaiting = acceptedInRound >= MAX_ACCEPTS_PER_ROUND && open < limit;
        acceptedInRound = 0;
        ctx.fireChannelReadComplete();
    }

    private void updateAutoRead() {
        boolean below = open < limit;
        if (listener != null && listener.config().isAutoRead() != below) {
            listener.config().setAutoRead(below);
        }
    }
}
