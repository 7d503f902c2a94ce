// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.net;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.function.Consumer;

/**
 * Simulates a link between a connection's socket and the stand-in behind it. The faults of the
 * link's two directions hold, delay, lose or slow down the bytes, or reset the connection. Lost
 * bytes are not retransmitted: after a loss, nothing more is delivered on that connection in that
 * direction.
 */
public final class LinkHandler extends ChannelDuplexHandler {

    private record Chunk(ByteBuf bytes, Consumer<ByteBuf> deliver, long dueAt) {}

    // The bytes of one direction of one connection, in order.
    private final class ByteStream {
        private final OneWayLink oneWay;
        private final Deque<Chunk> queue = new ArrayDeque<>();
        private boolean discards;
        private long lastDue = Long.MIN_VALUE;
        private long passedBytes;
        private boolean waiting;

        ByteStream(OneWayLink oneWay) {
            this.oneWay = oneWay;
        }

        void transfer(ByteBuf bytes, Consumer<ByteBuf> deliver) {
            discards |= oneWay.losesNext();
            if (discards) {
                bytes.release();
            } else if (queue.isEmpty() && oneWay.clear()) {
                deliver.accept(bytes);
            } else {
                long now = loop.now();
                lastDue =
                        Math.max(lastDue, now + oneWay.latency())
                                + oneWay.transmissionTime(bytes.readableBytes());
                queue.add(new Chunk(bytes, deliver, lastDue));
                deliverDue();
            }
        }

        private void deliverDue() {
            while (!waiting && !queue.isEmpty()) {
                if (oneWay.isHeld()) {
                    waiting = true;
                    oneWay.onFaultsCleared(this::resume);
                } else if (queue.peek().dueAt() > loop.now()) {
                    waiting = true;
                    loop.at(queue.peek().dueAt(), this::resume);
                } else {
                    deliver(queue.poll());
                }
            }
        }

        private void resume() {
            waiting = false;
            deliverDue();
        }

        private void deliver(Chunk chunk) {
            int length = chunk.bytes().readableBytes();
            long remaining =
                    oneWay.cutAfter() < 0 ? Long.MAX_VALUE : oneWay.cutAfter() - passedBytes;
            if (length > remaining) {
                chunk.deliver()
                        .accept(chunk.bytes().readRetainedSlice((int) Math.max(0, remaining)));
                chunk.bytes().release();
                discard();
                context.flush();
                Link.reset(context.channel());
                return;
            }
            passedBytes += length;
            chunk.deliver().accept(chunk.bytes());
        }

        void discard() {
            discards = true;
            queue.forEach(chunk -> chunk.bytes().release());
            queue.clear();
        }
    }

    private final Loop loop;
    private final Link link;
    private final ByteStream in;
    private final ByteStream out;
    private ChannelHandlerContext context;

    /** {@code initiator} is true if the stand-in opened the connection. */
    public LinkHandler(Loop loop, Link link, boolean initiator) {
        this.loop = loop;
        this.link = link;
        in = new ByteStream(initiator ? link.backward() : link.forward());
        out = new ByteStream(initiator ? link.forward() : link.backward());
    }

    @Override
    public void handlerAdded(ChannelHandlerContext ctx) {
        context = ctx;
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) {
        link.opened(ctx.channel());
        ctx.fireChannelActive();
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        in.transfer(
                (ByteBuf) message,
                bytes -> {
                    ctx.fireChannelRead(bytes);
                    ctx.fireChannelReadComplete();
                });
    }

    @Override
    // The future may be ignored: the connection closes after a failed write or close.
    @SuppressWarnings("FutureReturnValueIgnored")
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes && bytes.isReadable()) {
            // The write is complete for the stand-in; the link decides whether and when the bytes
            // are sent.
            promise.trySuccess();
            out.transfer(bytes, each -> ctx.writeAndFlush(each));
        } else {
            ctx.write(message, promise);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        in.discard();
        out.discard();
        ctx.fireChannelInactive();
    }
}
