// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.standin;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Counts the bytes of all connections of a stand-in. It is the first handler of each pipeline, so
 * it sees the bytes of the sockets, HTTP headers included.
 */
@Sharable
final class TrafficCounter extends ChannelDuplexHandler {

    private final AtomicLong calls = new AtomicLong();
    private final AtomicLong receivedBytes = new AtomicLong();
    private final AtomicLong sentBytes = new AtomicLong();

    void countRequest() {
        calls.incrementAndGet();
    }

    Traffic traffic() {
        return new Traffic(calls.get(), receivedBytes.get(), sentBytes.get());
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        if (message instanceof ByteBuf bytes) {
            receivedBytes.addAndGet(bytes.readableBytes());
        }
        ctx.fireChannelRead(message);
    }

    @Override
    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            sentBytes.addAndGet(bytes.readableBytes());
        }
        ctx.write(message, promise);
    }
}
