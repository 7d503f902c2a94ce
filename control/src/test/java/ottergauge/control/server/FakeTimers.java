// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Timers that run on a clock that the test advances. */
final class FakeTimers implements Timers {

    private record PendingTimer(long timer, long atMs, Runnable task) {}

    private final Map<Long, PendingTimer> pendingTimers = new HashMap<>();
    private long nowMs = 1_000;
    private long last;

    @Override
    public long start(long delayMs, Runnable task) {
        last++;
        pendingTimers.put(last, new PendingTimer(last, nowMs + Math.max(1, delayMs), task));
        return last;
    }

    @Override
    public void cancel(long timer) {
        pendingTimers.remove(timer);
    }

    long nowMs() {
        return nowMs;
    }

    long nowMicros() {
        return nowMs * 1_000;
    }

    int count() {
        return pendingTimers.size();
    }

    /** Advances the clock and runs the timers that become due, in order. */
    void advance(long ms) {
        long until = nowMs + ms;
        Optional<PendingTimer> next = next(until);
        while (next.isPresent()) {
            pendingTimers.remove(next.get().timer());
            nowMs = Math.max(nowMs, next.get().atMs());
            next.get().task().run();
            next = next(until);
        }
        nowMs = until;
    }

    private Optional<PendingTimer> next(long untilMs) {
        return pendingTimers.values().stream()
                .filter(pendingTimer -> pendingTimer.atMs() <= untilMs)
                .min(Comparator.comparing(PendingTimer::atMs).thenComparing(PendingTimer::timer));
    }
}
