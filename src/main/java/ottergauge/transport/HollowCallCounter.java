// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import ottergauge.transport.HollowEvent.CallKind;
import ottergauge.transport.HollowEvent.Calls;
import ottergauge.transport.HollowEvent.Source;

/** Counts the calls of all nodes of one loop to one source, by kind, in spans of equal length. */
final class HollowCallCounter {

    /** In microseconds. */
    static final long SPAN = TimeUnit.MILLISECONDS.toMicros(10);

    private final Source source;
    private final LongSupplier clock;
    private final Consumer<HollowEvent> observer;
    private final Map<CallKind, Long> counts = new EnumMap<>(CallKind.class);
    private long spanAt;

    HollowCallCounter(Source source, LongSupplier clock, Consumer<HollowEvent> observer) {
        this.source = source;
        this.clock = clock;
        this.observer = observer;
    }

    void count(CallKind kind) {
        long now = clock.getAsLong();
        if (now - spanAt >= SPAN) {
            tell();
            spanAt = now - now % SPAN;
        }
        counts.merge(kind, 1L, Long::sum);
    }

    /** Tells what has been counted and not told yet. */
    void tell() {
        counts.forEach((kind, count) -> observer.accept(new Calls(source, kind, count, spanAt)));
        counts.clear();
    }
}
