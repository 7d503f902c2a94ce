// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/** An attempt of a request, or a probe (with no exchange), at one server. */
final class Attempt {
    final long number;
    final InFlightRequest exchange;
    final int attempt;
    final long server;

    /** When it was sent; a request that flows, when its last byte was. */
    long startedAt;

    long dueAt;

    /** Set once a connection carries it. */
    PooledConnection connection;

    /** Whether its first byte is written: until then it can be taken back with nothing lost. */
    boolean begun;

    /** Whether its last byte is written: until then it cannot have run. */
    boolean written;

    Attempt(long number, InFlightRequest exchange, int attempt, long server, long startedAt, long dueAt) {
        this.number = number;
        this.exchange = exchange;
        this.attempt = attempt;
        this.server = server;
        this.startedAt = startedAt;
        this.dueAt = dueAt;
    }

    boolean isProbe() {
        return exchange == null;
    }
}
