// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.function.Consumer;
import ottergauge.routing.Effect.StartTimer;
import ottergauge.routing.Effect.StopAccepting;

/**
 * Graceful shutdown: determines until when responses may be written, when idle connections are
 * closed, and when the node exits.
 */
final class Shutdown {

    // The load balancers in front of the node stop sending new clients within 0.4 s.
    private static final long QUIET_PERIOD_MICROS = 500_000;
    // The process may be killed 0.7 s after the longest deadline.
    private static final long LAST_RESPONSE_MARGIN_MICROS = 500_000;
    // A request that arrives at the end of the quiet period has at least this long.
    private static final long LAST_REQUEST_MICROS = 400_000;

    private final DownstreamConnections clients;
    private final Consumer<Effect> effects;
    private boolean begun;
    private boolean quietPeriodOver;
    private boolean exited;
    private long lastResponseAt = Long.MAX_VALUE;

    Shutdown(DownstreamConnections clients, Consumer<Effect> effects) {
        this.clients = clients;
        this.effects = effects;
    }

    /**
     * Begins to stop, unless it has begun before.
     *
     * @param handover whether another process of the node accepts its clients from now on
     * @param longestDeadline the longest deadline of the request classes, in microseconds
     */
    void begin(long now, boolean handover, long longestDeadline) {
        if (begun) {
            return;
        }
        begun = true;
        clients.closeAfterResponses();
        long untilLastResponse = longestDeadline + LAST_RESPONSE_MARGIN_MICROS;
        lastResponseAt = now + untilLastResponse;
        effects.accept(new StartTimer(untilLastResponse, new Timer.LastResponseDue()));
        if (handover) {
            // Open connections are closed after their next response. If they were closed while
            // idle, a request could arrive at the same moment.
            effects.accept(new StopAccepting());
            long quietPeriod = untilLastResponse - Math.min(LAST_REQUEST_MICROS, longestDeadline);
            effects.accept(new StartTimer(quietPeriod, new Timer.QuietPeriodOver()));
        } else {
            effects.accept(new StartTimer(QUIET_PERIOD_MICROS, new Timer.QuietPeriodOver()));
        }
    }

    /** Whether the node is stopping. */
    boolean hasBegun() {
        return begun;
    }

    /** When the last response must be written, in microseconds. */
    long lastResponseAt() {
        return lastResponseAt;
    }

    /** New clients are no longer expected. */
    void quietPeriodOver() {
        quietPeriodOver = true;
        clients.closeIdle(CloseReason.STOPPING);
    }

    /**
     * Closes idle connections of clients that connected after the quiet period, which would delay
     * the exit.
     */
    void sweep() {
        if (quietPeriodOver) {
            clients.closeIdle(CloseReason.STOPPING);
        }
    }

    /** Requests the exit, once, when no client is connected any more. */
    void exitIfDone() {
        if (quietPeriodOver && !exited && clients.openCount() == 0) {
            exited = true;
            effects.accept(new Effect.Exit());
        }
    }
}
