// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.nio.NioIoHandler;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.internal.VertxBootstrap;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.ThreadFactory;

/**
 * Has one loop do everything. A thread of its own accepted hundreds while the loop was busy, until
 * no descriptor was left; the library then accepts nothing for a second, and all that had piled up
 * meanwhile used up the descriptors again: the node served nobody for the rest of the day.
 */
final class SingleLoopTransport extends NioTransport {

    private final EventLoopMonitor watch;
    private EventLoopGroup group;

    /** {@code watch} is told of each of the loop's rounds. */
    SingleLoopTransport(EventLoopMonitor watch) {
        this.watch = watch;
    }

    /** The library with one loop that owns all and tells {@code watch} of each of its rounds. */
    static Vertx vertx(EventLoopMonitor watch) {
        // Addresses are numbers: nothing is asked of DNS.
        System.setProperty("vertx.disableDnsResolver", "true");
        // The pools for blocking work have nothing to do. No files: they count as memory.
        VertxOptions options =
                new VertxOptions()
                        .setEventLoopPoolSize(1)
                        .setWorkerPoolSize(1)
                        .setInternalBlockingPoolSize(1)
                        .setFileSystemOptions(
                                new FileSystemOptions()
                                        .setClassPathResolvingEnabled(false)
                                        .setFileCachingEnabled(false));
        return VertxBootstrap.create()
                .options(options)
                .transport(new SingleLoopTransport(watch))
                .init()
                .vertx();
    }

    @Override
    public IoHandlerFactory ioHandlerFactory() {
        return NioIoHandler.newFactory(SelectorProvider.provider(), () -> watch);
    }

    @Override
    public EventLoopGroup eventLoopGroup(
            int type, int threads, ThreadFactory factory, int ioRatio) {
        if (group == null) {
            group = super.eventLoopGroup(type, 1, factory, ioRatio);
        }
        return group;
    }
}
