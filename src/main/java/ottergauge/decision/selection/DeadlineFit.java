// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.selection;

import ottergauge.decision.health.SlowStartBudget;
import ottergauge.decision.load.CapacityEstimates;
import ottergauge.decision.load.LoadEstimates;
import ottergauge.decision.load.LoadSourceSelector;
import ottergauge.decision.load.ServiceTimes;
import ottergauge.decision.model.OutstandingAttempts;
import ottergauge.decision.model.Request;
import ottergauge.decision.model.Server;

/**
 * Judges whether a request can be expected to end at a server while its response has value. See
 * docs/design.md, "deadline fit", "Queue bound" and "idle capacity for late responses".
 */
public final class DeadlineFit {

    // The part of the time left that a request may be expected to take.
    private static final double MAX_TIME_RATIO = 0.75;
    // The same where it isn't cut off at its objective but goes on at the cost of others.
    private static final double MAX_LATE_VALUE_TIME_RATIO = 0.5;
    // Past its capacity a server may have this multiple of its root: the square-root staffing rule.
    private static final double MAX_QUEUE_ROOT_MULTIPLE = 0.6;

    private final LoadSourceSelector loadSource;
    private final ServiceTimes serviceTimes;
    private final CapacityEstimates capacities;
    private final LoadEstimates loads;
    private final OutstandingAttempts outstanding;
    private final SlowStartBudget slowStart;

    /** Creates a judge by these estimates. */
    public DeadlineFit(
            LoadSourceSelector loadSource,
            ServiceTimes serviceTimes,
            CapacityEstimates capacities,
            LoadEstimates loads,
            OutstandingAttempts outstanding,
            SlowStartBudget slowStart) {
        this.loadSource = loadSource;
        this.serviceTimes = serviceTimes;
        this.capacities = capacities;
        this.loads = loads;
        this.outstanding = outstanding;
        this.slowStart = slowStart;
    }

    /** Whether the request fits at the server now. */
    public boolean fits(Request request, Server server, long now) {
        if (!loadSource.knowsLoad() || !serviceTimes.isKnown() || isReportWanted(now)) {
            return true;
        }
        double inFlight = loads.inFlight(server, now);
        double capacity = capacities.of(server);
        // A late request has long to wait: queued, it would fill servers that others need in time.
        double queue = request.isLate() ? 0 : MAX_QUEUE_ROOT_MULTIPLE * Math.sqrt(capacity);
        if (inFlight >= capacity + queue) {
            return false;
        }
        long timeLeft = request.deadline() - now;
        boolean lateValue = request.times().hasLateValue();
        double maxTimeRatio = lateValue ? MAX_LATE_VALUE_TIME_RATIO : MAX_TIME_RATIO;
        return loads.expectedLatency(server, inFlight, now) <= maxTimeRatio * timeLeft
                || (inFlight < capacity
                        && slowStart.isWarm(server, now)
                        && (!lateValue
                                || outstanding.isEmpty()
                                || serviceTimes.of(server, now) <= timeLeft));
    }

    // With nothing outstanding no report would come, and a full fleet be taken for full for ever.
    private boolean isReportWanted(long now) {
        return loadSource.usesReports()
                && outstanding.isEmpty()
                && now - outstanding.lastSentAt() >= serviceTimes.mean();
    }
}
