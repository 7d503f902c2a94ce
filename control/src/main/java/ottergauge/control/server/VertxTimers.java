// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import io.vertx.core.Vertx;

/** Timers that run on Vert.x. */
final class VertxTimers implements Timers {

    private final Vertx vertx;

    VertxTimers(Vertx vertx) {
        this.vertx = vertx;
    }

    @Override
    public long start(long delayMs, Runnable task) {
        return vertx.setTimer(Math.max(1, delayMs), fired -> task.run());
    }

    @Override
    public void cancel(long timerId) {
        vertx.cancelTimer(timerId);
    }
}
