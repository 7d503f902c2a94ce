// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.IoHandlerFactory;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.internal.PlatformDependent;
import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.file.FileSystemOptions;
import io.vertx.core.impl.transports.NioTransport;
import io.vertx.core.internal.VertxBootstrap;
import java.nio.channels.spi.SelectorProvider;
import java.util.concurrent.ThreadFactory;

/**
 * Runs everything on one event loop. In an earlier version, a separate thread accepted connections.
 * While the loop was busy, this thread accepted hundreds of them, until no file descriptor was
 * left. Netty then stopped accepting for a second. The connections that queued up in that second
 * used up the descriptors again, and the node served no client for the rest of the day.
 */
final class SingleLoopTransport extends NioTransport {

    private final EventLoopMonitor monitor;
    private EventLoopGroup group;

    /** {@code monitor} is notified of each of the loop's rounds. */
    SingleLoopTransport(EventLoopMonitor monitor) {
        this.monitor = monitor;
    }

    /**
     * Creates a Vert.x instance with one event loop for everything, which notifies {@code monitor}
     * of each of its rounds.
     */
    static Vertx vertx(EventLoopMonitor monitor) {
        // Addresses are numeric, so that DNS is not used.
        System.setProperty("vertx.disableDnsResolver", "true");
        // The pools for blocking work are not used. Files are not cached, since cached files count
        // as memory.
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
                .transport(new SingleLoopTransport(monitor))
                .init()
                .vertx();
    }

    /**
     * How much direct memory the process may allocate for I/O buffers, as set by {@code
     * -XX:MaxDirectMemorySize}.
     */
    static long maxIoMemoryBytes() {
        return PlatformDependent.estimateMaxDirectMemory();
    }

    @Override
    public IoHandlerFactory ioHandlerFactory() {
        return NioIoHandler.newFactory(SelectorProvider.provider(), () -> monitor);
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
