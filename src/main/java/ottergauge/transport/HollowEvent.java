// SPDX-License-Identifier: Apache-2.0
package ottergauge.transport;

/**
 * What hollow nodes tell of themselves. Instants are wall-clock microseconds, so that they can be
 * compared with those of other processes on the same machine.
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
     * A node goes by this version from now on; {@code entries} came with it, a whole state or
     * changes.
     */
    record InForce(String node, Source source, long version, boolean whole, int entries, long at)
            implements HollowEvent {}

    /**
     * So many calls began, or failed, in the span of {@link HollowCallCounter#SPAN} that begins at
     * {@code at}.
     */
    record Calls(Source source, CallKind kind, long count, long at) implements HollowEvent {}

    /**
     * A node's bytes in the span of {@link HollowTrafficCounter#SPAN} that begins at {@code at}.
     */
    record Traffic(String node, Source source, long bytesIn, long bytesOut, long at)
            implements HollowEvent {}

    /**
     * How late a loop came round since this was told last: for each bound of {@link EventLoopLag}
     * the number of looks that were later than the bound before and not later than this one; the
     * last has no bound.
     */
    record Late(int loop, long[] counts, long at) implements HollowEvent {}

    /** How servers stand at a node: their number, and a digest of all names with their standing. */
    record Servers(String node, int count, String digest, long at) implements HollowEvent {}

    /** An effect was asked for that needs what a hollow node lacks. */
    record LeftOut(String node, String effect, long at) implements HollowEvent {}

    /** All nodes of this process have been started, or started anew. */
    record Started(int nodes, long at) implements HollowEvent {}
}
