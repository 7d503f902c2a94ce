// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.load;

import java.util.HashMap;
import java.util.Map;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.limits.MovingAverage;
import ottergauge.decision.model.Server;
import ottergauge.decision.model.ServerProbe;

/**
 * Tracks the round-trip times of load probes by zone and derives the probe timeout from them.
 * Instants and time spans are in microseconds. See docs/design.md, "probe timeout".
 */
public final class ProbeTracker {

    private static final double INITIAL_ROUND_TRIP_MICROS = 1_000;
    private static final double TIMEOUT_ROUND_TRIPS = 4;

    private final Map<Integer, Double> roundTrips = new HashMap<>();
    private long eventInterval;

    /** Applies new settings. */
    public void applySettings(DecisionSettings next) {
        eventInterval = next.eventInterval();
    }

    /** Returns the mean round-trip time to a server's zone. */
    public double roundTrip(Server server) {
        return roundTrips.getOrDefault(server.endpoint().zone(), INITIAL_ROUND_TRIP_MICROS);
    }

    /** Records the round-trip time of a successful probe. */
    public void recordRoundTrip(Server server, long elapsed) {
        roundTrips.merge(server.endpoint().zone(), (double) elapsed, MovingAverage::update);
    }

    /** Clears the round-trip times of all zones, because zones have been renumbered. */
    public void forgetRoundTrips() {
        roundTrips.clear();
    }

    /** Returns whether a probe of the server has been in flight for longer than its timeout. */
    public boolean isUnresponsive(Server server, long now) {
        return server.probe().isInFlight() && now >= timeoutAt(server);
    }

    /** Returns whether a probe of the server is in flight and its timeout hasn't expired. */
    public boolean isAwaited(Server server, long now) {
        return server.probe().isInFlight() && now < timeoutAt(server);
    }

    /** Returns the instant at which the last probe of the server times out. */
    public long timeoutAt(Server server) {
        ServerProbe probe = server.probe();
        double roundTrip = roundTrip(server);
        // The node detects a response only at its next event, which may be an event interval later.
        double timeout = Math.max(TIMEOUT_ROUND_TRIPS * roundTrip, roundTrip + 2 * eventInterval);
        return probe.sentAt() + (long) timeout + 1;
    }
}
