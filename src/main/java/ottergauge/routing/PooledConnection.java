// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/** A connection to a server, from the moment it is asked for. */
final class PooledConnection {
    final long number;
    final ServerPool upstream;
    final long openedAt;
    boolean up;

    /** Whether it is not up yet, and nothing waits for it any more. */
    boolean late;

    /** What it carries, or is about to carry, or null. */
    Attempt job;

    /** Whether it has carried an answer before. */
    boolean kept;

    long idleSince;

    PooledConnection(long number, ServerPool upstream, long openedAt) {
        this.number = number;
        this.upstream = upstream;
        this.openedAt = openedAt;
    }
}
