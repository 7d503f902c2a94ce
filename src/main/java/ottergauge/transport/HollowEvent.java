// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import java.util.List;

/**
 * What hollow nodes report. Instants are wall-clock microseconds, so that they can be compared with
 * those of other processes on the same machine.
 */
public sealed interface HollowEvent {

    /** Where a node's state comes from. */
    enum Source {
        DISCOVERY,
        CONTROL
    }

    /**
     * What a call asks for. {@code FAILED} stands for a call, of either kind, that brought nothing.
     */
    enum CallKind {
        WHOLE,
        CHANGES,
        FAILED
    }

    /**
     * A version has taken effect at a node; {@code entries} came with it, of a complete state or of
     * changes.
     */
    record VersionEffective(
            String node, Source source, long version, boolean complete, int entries, long at)
            implements HollowEvent {}

    /**
     * So many calls began, or failed, in the span of {@link HollowCallCounter#SPAN_MICROS} that
     * begins at {@code at}.
     */
    record PollCount(Source source, CallKind kind, long count, long at) implements HollowEvent {}

    /**
     * A node's bytes in the span of {@link HollowTrafficCounter#SPAN_MICROS} that begins at {@code
     * at}.
     */
    record Traffic(String node, Source source, long bytesIn, long bytesOut, long at)
            implements HollowEvent {}

    /** The histogram of a loop's lag since the last event, a count for each bucket. */
    record LoopLag(int loop, List<Long> counts, long at) implements HollowEvent {}

    /** The number of a node's servers, and a digest of their names and statuses. */
    record ServerStatuses(String node, int count, String digest, long at) implements HollowEvent {}

    /** The router asked for an effect that needs what a hollow node lacks. */
    record EffectOmitted(String node, String effect, long at) implements HollowEvent {}

    /** All nodes of this process have been started, or started anew. */
    record FleetStarted(int nodes, long at) implements HollowEvent {}
}
