// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/** A connection to a server, from the request to open it. Times are in microseconds. */
final class PooledConnection {
    final long number;
    final ServerPool pool;
    final long openedAt;
    boolean established;

    /** Whether it is not established yet and no attempt waits for it any more. */
    boolean overdue;

    /** The attempt that it carries or is about to carry, or null. */
    Attempt attempt;

    /** Whether it has carried a response before. */
    boolean reused;

    long idleSince;

    PooledConnection(long number, ServerPool pool, long openedAt) {
        this.number = number;
        this.pool = pool;
        this.openedAt = openedAt;
    }
}
