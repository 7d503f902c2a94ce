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
 * What lies between a connection's socket and the stand-in behind it: all bytes of either way pass
 * its lane, which holds, delays, loses or slows them or cuts the connection. A lost byte of a
 * stream is never made up for: what comes behind it on that connection is not delivered either.
 */
public final class LinkHandler extends ChannelDuplexHandler {

    private record Piece(ByteBuf bytes, Consumer<ByteBuf> deliver, long due) {}

    // The bytes of one way of one connection, in their order.
    private final class Stream {
        private final Lane lane;
        private final Deque<Piece> queue = new ArrayDeque<>();
        private boolean silent;
        private long lastDue = Long.MIN_VALUE;
        private long passed;
        private boolean waits;

        Stream(Lane lane) {
            this.lane = lane;
        }

        void take(ByteBuf bytes, Consumer<ByteBuf> deliver) {
            silent |= lane.loses();
            if (silent) {
                bytes.release();
            } else if (queue.isEmpty() && lane.clear()) {
                deliver.accept(bytes);
            } else {
                long now = loop.now();
                lastDue =
                        Math.max(lastDue, now + lane.trip()) + lane.writing(bytes.readableBytes());
                queue.add(new Piece(bytes, deliver, lastDue));
                move();
            }
        }

        private void move() {
            while (!waits && !queue.isEmpty()) {
                if (lane.holds()) {
                    waits = true;
                    lane.whenHealed(this::go);
                } else if (queue.peek().due() > loop.now()) {
                    waits = true;
                    loop.at(queue.peek().due(), this::go);
                } else {
                    deliver(queue.poll());
                }
            }
        }

        private void go() {
            waits = false;
            move();
        }

        private void deliver(Piece piece) {
            int length = piece.bytes().readableBytes();
            long left = lane.cutAfter() < 0 ? Long.MAX_VALUE : lane.cutAfter() - passed;
            if (length > left) {
                piece.deliver().accept(piece.bytes().readRetainedSlice((int) Math.max(0, left)));
                piece.bytes().release();
                drop();
                context.flush();
                Link.reset(context.channel());
                return;
            }
            passed += length;
            piece.deliver().accept(piece.bytes());
        }

        void drop() {
            silent = true;
            queue.forEach(piece -> piece.bytes().release());
            queue.clear();
        }
    }

    private final Loop loop;
    private final Link link;
    private final Stream in;
    private final Stream out;
    private ChannelHandlerContext context;

    /** {@code connects} says that the stand-in is the side that opened the connection. */
    public LinkHandler(Loop loop, Link link, boolean connects) {
        this.loop = loop;
        this.link = link;
        in = new Stream(connects ? link.back() : link.there());
        out = new Stream(connects ? link.there() : link.back());
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
        in.take(
                (ByteBuf) message,
                bytes -> {
                    ctx.fireChannelRead(bytes);
                    ctx.fireChannelReadComplete();
                });
    }

    @Override
    // A failed write or close shows as the end of its connection.
    @SuppressWarnings("FutureReturnValueIgnored")
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes && bytes.isReadable()) {
            // Written as far as the stand-in is concerned: what becomes of it is the link's.
            promise.trySuccess();
            out.take(bytes, each -> ctx.writeAndFlush(each));
        } else {
            ctx.write(message, promise);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext ctx) {
        in.drop();
        out.drop();
        ctx.fireChannelInactive();
    }
}
