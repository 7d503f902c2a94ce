// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

import java.util.List;

/**
 * An event that hollow nodes report. Instants are wall-clock microseconds, so that they can be
 * compared with those of other processes on the same machine.
 */
public sealed interface HollowEvent {

    /** Where a node's state comes from. */
    enum Source {
        DISCOVERY,
        CONTROL
    }

    /**
     * What a poll asks for. {@code FAILED} stands for a poll of either kind that returned nothing.
     */
    enum PollKind {
        WHOLE,
        CHANGES,
        FAILED
    }

    /**
     * A version has taken effect at a node. {@code entries} is the number of entries that came with
     * it, in a complete state or in changes.
     */
    record VersionEffective(
            String node, Source source, long version, boolean complete, int entries, long at)
            implements HollowEvent {}

    /**
     * The number of polls that were sent, or failed, in the span of {@link
     * HollowPollCounter#SPAN_MICROS} that begins at {@code at}.
     */
    record PollCount(Source source, PollKind kind, long count, long at) implements HollowEvent {}

    /**
     * The bytes that a node received and sent in the span of {@link
     * HollowTrafficCounter#SPAN_MICROS} that begins at {@code at}.
     */
    record Traffic(String node, Source source, long bytesIn, long bytesOut, long at)
            implements HollowEvent {}

    /** The histogram of a loop's lag since the loop's last such event, a count for each bucket. */
    record LoopLag(int loop, List<Long> counts, long at) implements HollowEvent {}

    /** The number of a node's servers, and a digest of their names and statuses. */
    record ServerStatuses(String node, int count, String digest, long at) implements HollowEvent {}

    /** The router requested an effect that a hollow node cannot perform. */
    record EffectOmitted(String node, String effect, long at) implements HollowEvent {}

    /** All nodes of this process have been started or restarted. */
    record FleetStarted(int nodes, long at) implements HollowEvent {}
}
