// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.health;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import ottergauge.decision.limits.MovingAverage;
import ottergauge.decision.load.LoadEstimates;
import ottergauge.decision.model.Attempt;
import ottergauge.decision.model.Instants;
import ottergauge.decision.model.OutstandingAttempts;
import ottergauge.decision.model.Server;
import ottergauge.decision.model.ServerHealth;

/**
 * Detects servers that no longer respond, by the number of responses expected from them, and
 * attempts whose responses were lost. Instants are in microseconds. See docs/design.md, "silent
 * servers" and "overdue attempts".
 */
public final class SilenceDetector {

    /**
     * Maximum number of missed responses counted for one attempt. It is lower than the number that
     * makes a server silent, because a single expensive request may also stay unanswered for a long
     * time.
     */
    public static final double MAX_MISSED_RESPONSES_PER_ATTEMPT = 3;

    private static final long SWEEP_INTERVAL_MICROS = 25_000;
    // A server with more missed responses than this is considered silent. The probability that a
    // working server misses so many is e^-5, which is under 1 in 100.
    private static final double SILENT_MISSED_RESPONSES = 5;
    // Few attempts take longer than this multiple of their expected latency.
    private static final double OVERDUE_LATENCY_MULTIPLE = 6;
    // Unless the ratio of unanswered attempts is higher than this, an overdue attempt is considered
    // a long request rather than a lost one.
    private static final double MIN_LOST_RATIO = 0.15;

    private final OutstandingAttempts outstanding;
    private final LoadEstimates loads;
    private final OutlierDetector outliers;
    private double unansweredRatio;
    private long nextSweepAt = Instants.NEVER;

    /** Creates a detector that watches these attempts. */
    public SilenceDetector(
            OutstandingAttempts outstanding, LoadEstimates loads, OutlierDetector outliers) {
        this.outstanding = outstanding;
        this.loads = loads;
        this.outliers = outliers;
    }

    /** Counts an ended attempt as answered or as unanswered. */
    public void countAttempt(boolean answered) {
        unansweredRatio += MovingAverage.SMOOTHING_RATIO * ((answered ? 0 : 1) - unansweredRatio);
    }

    /** Returns the instant at which the next {@link #sweep} is due. */
    public long nextSweepAt() {
        return nextSweepAt;
    }

    /**
     * Ejects silent servers if a sweep is due. Returns the overdue attempts and those at the
     * servers that it ejected, in the order in which they are to be replaced.
     */
    public Set<Attempt> sweep(long now) {
        if (now < nextSweepAt) {
            return Set.of();
        }
        nextSweepAt = now + SWEEP_INTERVAL_MICROS;
        Set<Attempt> overdue = new LinkedHashSet<>();
        countMissedResponses(overdue, now);
        ejectSilentServers(overdue, now);
        return overdue;
    }

    private void countMissedResponses(Set<Attempt> overdue, long now) {
        for (Attempt attempt : outstanding.all()) {
            attempt.server().health().clearMissedResponses();
        }
        for (Attempt attempt : outstanding.all()) {
            ServerHealth health = attempt.server().health();
            double expected = loads.expectedLatency(attempt.server(), attempt.loadBefore(), now);
            long silentSince = Math.max(attempt.sentAt(), health.lastResponseAt());
            double missed = expected > 0 ? (now - silentSince) / expected : 0;
            health.addMissedResponses(Math.min(missed, MAX_MISSED_RESPONSES_PER_ATTEMPT));
            if (unansweredRatio > MIN_LOST_RATIO
                    && expected > 0
                    && now - attempt.sentAt() > OVERDUE_LATENCY_MULTIPLE * expected) {
                overdue.add(attempt);
            }
        }
    }

    private void ejectSilentServers(Set<Attempt> overdue, long now) {
        for (Attempt attempt : new ArrayList<>(outstanding.all())) {
            Server server = attempt.server();
            if (server.health().missedResponses() > SILENT_MISSED_RESPONSES
                    && !server.health().isEjected(now)
                    && !outliers.isHalfEjected(now)) {
                outliers.eject(server, now);
                overdue.addAll(server.outstanding());
            }
        }
    }
}
