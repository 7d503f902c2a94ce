// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.nio.NioIoHandler;
import io.vertx.core.impl.transports.NioTransport;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.ThreadFactory;

/**
 * Has one loop do everything. A thread of its own accepted hundreds while the loop was busy, until no
 * descriptor was left; the library then accepts nothing for a second, and all that had piled up meanwhile
 * used up the descriptors again: the node served nobody for the rest of the day.
 */
final class OneLoopTransport extends NioTransport {

    private final LoopWatch watch;
    private EventLoopGroup group;

    /** {@code watch} is told of each of the loop's rounds. */
    OneLoopTransport(LoopWatch watch) {
        this.watch = watch;
    }

    @Override
    public IoHandlerFactory ioHandlerFactory() {
        return NioIoHandler.newFactory(SelectorProvider.provider(), () -> watch);
    }

    @Override
    public EventLoopGroup eventLoopGroup(int type, int threads, ThreadFactory factory, int ioRatio) {
        if (group == null) {
            group = super.eventLoopGroup(type, 1, factory, ioRatio);
        }
        return group;
    }
}
