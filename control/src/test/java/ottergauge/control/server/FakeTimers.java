// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/** Timers on a clock that a test advances. */
final class FakeTimers implements Timers {

    private record Due(long timer, long atMs, Runnable task) {}

    private final Map<Long, Due> running = new HashMap<>();
    private long nowMs = 1_000;
    private long last;

    @Override
    public long start(long delayMs, Runnable task) {
        last++;
        running.put(last, new Due(last, nowMs + Math.max(1, delayMs), task));
        return last;
    }

    @Override
    public void cancel(long timer) {
        running.remove(timer);
    }

    long nowMs() {
        return nowMs;
    }

    long nowMicros() {
        return nowMs * 1_000;
    }

    int count() {
        return running.size();
    }

    /** Advances the clock and runs the due timers in order. */
    void advance(long ms) {
        long until = nowMs + ms;
        Optional<Due> next = next(until);
        while (next.isPresent()) {
            running.remove(next.get().timer());
            nowMs = Math.max(nowMs, next.get().atMs());
            next.get().task().run();
            next = next(until);
        }
        nowMs = until;
    }

    private Optional<Due> next(long untilMs) {
        return running.values().stream()
                .filter(due -> due.atMs() <= untilMs)
                .min(Comparator.comparing(Due::atMs).thenComparing(Due::timer));
    }
}
