// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.net;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The laboratory's single thread and its clock; stand-ins, faults and clients all run on it. It
 * measures how late scheduled tasks run: if they run late, a run has measured the laboratory
 * instead of the nodes.
 */
public final class Loop implements AutoCloseable {

    private static final Logger LOG = LoggerFactory.getLogger(Loop.class);
    private static final long MAX_LATENESS = TimeUnit.MINUTES.toMicros(10);
    private static final long NANOS_PER_MICRO = 1_000;

    private final MultiThreadIoEventLoopGroup group;
    private final EventLoop loop;
    private final Histogram lateness = new Histogram(MAX_LATENESS, 3);
    private long origin = System.nanoTime();

    /** Starts the thread; it stops with {@link #close}. */
    public Loop() {
        group =
                new MultiThreadIoEventLoopGroup(
                        1, new DefaultThreadFactory("rig", true), NioIoHandler.newFactory());
        loop = group.next();
    }

    public EventLoop netty() {
        return loop;
    }

    /** Sets the clock to 0 and resets the lateness. Must be called on the loop. */
    public void begin() {
        origin = System.nanoTime();
        lateness.reset();
    }

    /** Microseconds since {@link #begin}, or since the creation of this loop. */
    public long now() {
        return (System.nanoTime() - origin) / NANOS_PER_MICRO;
    }

    /** Runs a task at a time, or at once if that time has passed. */
    @SuppressWarnings("FutureReturnValueIgnored")
    public void at(long instant, Runnable task) {
        loop.schedule(
                () -> {
                    lateness.recordValue(Math.min(MAX_LATENESS, Math.max(0, now() - instant)));
                    runLogged(task);
                },
                Math.max(0, instant - now()),
                TimeUnit.MICROSECONDS);
    }

    // Nobody checks the future of a scheduled task, so its failure would go unnoticed without this.
    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException e) {
            LOG.error("a scheduled task of the laboratory failed", e);
            throw e;
        }
    }

    public void after(long span, Runnable task) {
        at(now() + span, task);
    }

    /** How late scheduled tasks ran, in microseconds. */
    public Histogram lateness() {
        return lateness;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly(5, TimeUnit.SECONDS);
    }
}
