// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import ottergauge.transport.HollowEvent.Source;
import ottergauge.transport.HollowEvent.Traffic;

/**
 * Counts the bytes that one node writes to and reads from its connections to one source of its
 * state, in time spans of equal length. Headers that the operating system adds, such as those of
 * TCP, are not included.
 */
final class HollowTrafficCounter {

    /** The length of a span. */
    static final long SPAN_MICROS = TimeUnit.MILLISECONDS.toMicros(100);

    private final String node;
    private final Source source;
    private final LongSupplier clock;
    private final Consumer<HollowEvent> observer;
    private long spanStart;
    private long bytesIn;
    private long bytesOut;

    HollowTrafficCounter(
            String node, Source source, LongSupplier clock, Consumer<HollowEvent> observer) {
        this.node = node;
        this.source = source;
        this.clock = clock;
        this.observer = observer;
    }

    /**
     * Returns a handler that counts a connection's bytes; it has to be the first handler of the
     * pipeline.
     */
    ChannelDuplexHandler counter() {
        return new ChannelDuplexHandler() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object message) {
                count(length(message), 0);
                context.fireChannelRead(message);
            }

            // The caller learns the outcome from its promise, so the returned future is not needed.
            @SuppressWarnings("FutureReturnValueIgnored")
            @Override
            public void write(
                    ChannelHandlerContext context, Object message, ChannelPromise promise) {
                count(0, length(message));
                context.write(message, promise);
            }
        };
    }

    private static int length(Object message) {
        return message instanceof ByteBuf bytes ? bytes.readableBytes() : 0;
    }

    private void count(int in, int out) {
        long now = clock.getAsLong();
        if (now - spanStart >= SPAN_MICROS) {
            report();
            spanStart = now - now % SPAN_MICROS;
        }
        bytesIn += in;
        bytesOut += out;
    }

    /** Reports what has been counted since the last report. */
    void report() {
        if (bytesIn + bytesOut > 0) {
            observer.accept(new Traffic(node, source, bytesIn, bytesOut, spanStart));
            bytesIn = 0;
            bytesOut = 0;
        }
    }
}
