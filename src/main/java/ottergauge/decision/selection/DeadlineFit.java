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
 * Estimates whether a server can complete a request while its response still has value. See
 * docs/design.md, "deadline fit", "Queue bound" and "idle capacity for late responses".
 */
public final class DeadlineFit {

    // Maximum ratio of a request's expected latency to the time left until its deadline.
    private static final double MAX_TIME_RATIO = 0.75;
    // The same for a request whose late response has value. Such a request isn't ended at its
    // latency objective, but continues at the expense of other requests.
    private static final double MAX_LATE_VALUE_TIME_RATIO = 0.5;
    // The queue that a server may have is this multiple of the square root of its capacity, after
    // the square-root staffing rule.
    private static final double MAX_QUEUE_ROOT_MULTIPLE = 0.6;

    private final LoadSourceSelector loadSource;
    private final ServiceTimes serviceTimes;
    private final CapacityEstimates capacities;
    private final LoadEstimates loads;
    private final OutstandingAttempts outstanding;
    private final SlowStartBudget slowStart;

    /** Creates a check that uses these estimates. */
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

    /** Returns whether the server can be expected to complete the request in time. */
    public boolean fits(Request request, Server server, long now) {
        if (!loadSource.knowsLoad() || !serviceTimes.isKnown() || isReportWanted(now)) {
            return true;
        }
        double inFlight = loads.inFlight(server, now);
        double capacity = capacities.of(server);
        // A request that is already late has a long deadline. If such requests queued at servers,
        // they would take the place of requests that can still meet their latency objective.
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

    // Passive load reports come only with responses. If no attempt is outstanding and all servers
    // were last reported full, they would be considered full forever. One request is therefore sent
    // to get a report.
    private boolean isReportWanted(long now) {
        return loadSource.usesReports()
                && outstanding.isEmpty()
                && now - outstanding.lastSentAt() >= serviceTimes.mean();
    }
}
