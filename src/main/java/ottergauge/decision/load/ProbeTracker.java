// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.load;

import java.util.HashMap;
import java.util.Map;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.limits.MovingAverage;
import ottergauge.decision.model.Server;
import ottergauge.decision.model.ServerProbe;

/**
 * Round-trip times of probes by zone, and the probe timeout that follows from them. Instants and
 * spans are microseconds. See docs/design.md, "probe timeout".
 */
public final class ProbeTracker {

    private static final double INITIAL_ROUND_TRIP_MICROS = 1_000;
    private static final double TIMEOUT_ROUND_TRIPS = 4;

    private final Map<Integer, Double> roundTrips = new HashMap<>();
    private long eventInterval;

    /** Takes other settings. */
    public void applySettings(DecisionSettings next) {
        eventInterval = next.eventInterval();
    }

    /** Returns the usual round trip to a server's zone. */
    public double roundTrip(Server server) {
        return roundTrips.getOrDefault(server.endpoint().zone(), INITIAL_ROUND_TRIP_MICROS);
    }

    /** Takes the round trip of a probe that was answered. */
    public void recordRoundTrip(Server server, long elapsed) {
        roundTrips.merge(server.endpoint().zone(), (double) elapsed, MovingAverage::update);
    }

    /** Forgets all round trips, as zones are numbered anew. */
    public void forgetRoundTrips() {
        roundTrips.clear();
    }

    /** Whether a probe of the server has been in flight for longer than its timeout. */
    public boolean isUnresponsive(Server server, long now) {
        return server.probe().isInFlight() && now >= timeoutAt(server);
    }

    /** Whether a probe of the server is in flight and its timeout hasn't passed. */
    public boolean isAwaited(Server server, long now) {
        return server.probe().isInFlight() && now < timeoutAt(server);
    }

    /** Returns the instant at which the last probe of the server counts as unanswered. */
    public long timeoutAt(Server server) {
        ServerProbe probe = server.probe();
        double roundTrip = roundTrip(server);
        // A response is noticed only with the next event.
        double timeout = Math.max(TIMEOUT_ROUND_TRIPS * roundTrip, roundTrip + 2 * eventInterval);
        return probe.sentAt() + (long) timeout + 1;
    }
}
