// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import ottergauge.transport.HollowEvent.PollCount;
import ottergauge.transport.HollowEvent.PollKind;
import ottergauge.transport.HollowEvent.Source;

/**
 * Counts the polls that all nodes of a loop send to one source, by kind and in time spans of equal
 * length.
 */
final class HollowPollCounter {

    /** The length of a span. */
    static final long SPAN_MICROS = TimeUnit.MILLISECONDS.toMicros(10);

    private final Source source;
    private final LongSupplier clock;
    private final Consumer<HollowEvent> observer;
    private final Map<PollKind, Long> counts = new EnumMap<>(PollKind.class);
    private long spanStart;

    HollowPollCounter(Source source, LongSupplier clock, Consumer<HollowEvent> observer) {
        this.source = source;
        this.clock = clock;
        this.observer = observer;
    }

    void count(PollKind kind) {
        long now = clock.getAsLong();
        if (now - spanStart >= SPAN_MICROS) {
            report();
            spanStart = now - now % SPAN_MICROS;
        }
        counts.merge(kind, 1L, Long::sum);
    }

    /** Reports what has been counted since the last report. */
    void report() {
        counts.forEach(
                (kind, count) -> observer.accept(new PollCount(source, kind, count, spanStart)));
        counts.clear();
    }
}
