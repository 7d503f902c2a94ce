// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import io.netty.util.concurrent.EventExecutor;
import io.netty.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Schedules tasks on an event loop and logs their exceptions, which Netty would not report. */
final class LoopTasks {

    private static final Logger LOG = LoggerFactory.getLogger(LoopTasks.class);

    private LoopTasks() {}

    /** Runs a task on the loop after a delay. */
    static void schedule(EventExecutor loop, Runnable task, long delay, TimeUnit unit) {
        loop.schedule(task, delay, unit).addListener(LoopTasks::logFailure);
    }

    private static void logFailure(Future<?> done) {
        if (!done.isSuccess() && !done.isCancelled()) {
            LOG.error("a scheduled task failed", done.cause());
        }
    }
}
