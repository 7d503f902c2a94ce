// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.endpoints;

import java.util.SplittableRandom;
import ottergauge.decision.api.DecisionAction.WatchEndpoints;
import ottergauge.decision.api.DecisionActionSink;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.api.DiscoveryMode;

/**
 * Requests endpoint updates from discovery, and retries after failures with exponential backoff and
 * jitter. Instants are in microseconds.
 */
public final class DiscoveryPoller {

    private static final long MAX_FIRST_DELAY_MICROS = 200_000;
    private static final long BACKOFF_MICROS = 500_000;
    private static final int MAX_BACKOFF_DOUBLINGS = 3;

    private final SplittableRandom random;
    private DiscoveryMode mode;
    private long nextPollAt = Long.MAX_VALUE;
    private int failures;

    /** Creates a poller that has no poll scheduled. */
    public DiscoveryPoller(SplittableRandom random) {
        this.random = random;
    }

    /** Applies new settings. */
    public void applySettings(DecisionSettings next) {
        mode = next.discoveryMode();
    }

    /** Schedules the first poll if discovery is polled. */
    public void start(long now) {
        if (mode == DiscoveryMode.POLL) {
            nextPollAt = now + random.nextLong(MAX_FIRST_DELAY_MICROS);
        }
    }

    /** Records an endpoint update, which resets the backoff. */
    public void updateReceived() {
        failures = 0;
    }

    /** Schedules a retry after a failed poll. */
    public void pollFailed(long now) {
        if (mode == DiscoveryMode.POLL) {
            long backoff = BACKOFF_MICROS << Math.min(failures++, MAX_BACKOFF_DOUBLINGS);
            nextPollAt = now + backoff / 2 + random.nextLong(backoff);
        }
    }

    /** Returns the instant of the next poll, or {@link Long#MAX_VALUE} if none is scheduled. */
    public long nextPollAt() {
        return nextPollAt;
    }

    /** Polls discovery if a poll is due. */
    public void poll(long now, DecisionActionSink actions) {
        if (now >= nextPollAt) {
            nextPollAt = Long.MAX_VALUE;
            actions.accept(new WatchEndpoints());
        }
    }
}
