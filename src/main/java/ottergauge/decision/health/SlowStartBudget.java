// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.health;

import java.util.SplittableRandom;
import ottergauge.decision.api.ServiceRules;
import ottergauge.decision.balancing.ServerSubset;
import ottergauge.decision.limits.WarmUpSchedule;
import ottergauge.decision.load.CapacityEstimates;
import ottergauge.decision.load.LoadSourceSelector;
import ottergauge.decision.load.ServedRate;
import ottergauge.decision.load.ServiceTimes;
import ottergauge.decision.model.Attempt;
import ottergauge.decision.model.Server;
import ottergauge.decision.model.SlowStartState;

/**
 * Limits the attempts that this node sends to a server during its slow start. Instants are in
 * microseconds. See docs/design.md, "Slow-start budget".
 */
public final class SlowStartBudget {

    // The budget is an estimate. Only this fraction of it is used.
    private static final double SAFETY_RATIO = 0.6;
    // Minimum number of sends to a server per overload window by all nodes together. Without any
    // requests a server never warms up.
    private static final double MIN_FLEET_SENDS = 2;
    // A send is counted in the overload window at the instant at which the server is selected. The
    // attempt may start until this fraction of the window has passed since then.
    private static final double MAX_START_DELAY_RATIO = 0.25;

    private final WarmUpSchedule warmUp;
    private final ServerSubset subset;
    private final LoadSourceSelector loadSource;
    private final ServiceTimes serviceTimes;
    private final CapacityEstimates capacities;
    private final ServedRate servedRate;
    private final SplittableRandom random;
    private ServiceRules rules;

    /** Creates a budget that is computed from these estimates. */
    public SlowStartBudget(
            WarmUpSchedule warmUp,
            ServerSubset subset,
            LoadSourceSelector loadSource,
            ServiceTimes serviceTimes,
            CapacityEstimates capacities,
            ServedRate servedRate,
            SplittableRandom random) {
        this.warmUp = warmUp;
        this.subset = subset;
        this.loadSource = loadSource;
        this.serviceTimes = serviceTimes;
        this.capacities = capacities;
        this.servedRate = servedRate;
        this.random = random;
    }

    /** Applies new rules. */
    public void applySettings(ServiceRules next) {
        rules = next;
    }

    /** Returns whether a server has its full capacity. */
    public boolean isWarm(Server server, long now) {
        return factor(server, now) >= 1;
    }

    private double factor(Server server, long at) {
        return warmUp.factor(server.slowStart().startedAt(), at);
    }

    /**
     * Returns whether a server may be sent a request now. With a budget under one send per overload
     * window, the node waits until the budget accumulated over time reaches a random threshold.
     */
    public boolean permitsSend(Server server, long now) {
        SlowStartState state = server.slowStart();
        double factor = factor(server, now);
        if (factor >= 1) {
            state.forgetSends();
            return true;
        }
        state.forgetSendsOlderThan(rules.overloadWindow(), now);
        double budget = sendsPerWindow(factor);
        if (budget >= 1 || state.recentSends() > 0) {
            return state.recentSends() < (int) budget;
        }
        // If each of hundreds of nodes sent one request at the same time, the server would be
        // overloaded. The random threshold spreads them over time.
        if (!state.hasSendThreshold()) {
            state.setSendThreshold(-Math.log(1 - random.nextDouble()), now);
        }
        return isSendThresholdReached(server, now);
    }

    private boolean isSendThresholdReached(Server server, long now) {
        SlowStartState state = server.slowStart();
        long waited = now - state.sendThresholdSetAt();
        return waited * sendsPerWindow(factor(server, now - waited / 2))
                >= state.sendThreshold() * rules.overloadWindow();
    }

    // With load probes the budget is computed from the estimated capacity of a server. Otherwise it
    // is computed from the mean rate at which a server of the subset serves this node's attempts,
    // because servers are known to sustain that rate.
    private double sendsPerWindow(double factor) {
        double nodes = subset.nodesPerServer();
        double rate =
                loadSource.usesProbes() && serviceTimes.mean() > 0
                        ? capacities.fleetMean() / serviceTimes.mean() / nodes
                        : servedRate.perServer();
        double capacity = rules.overloadWindow() * rate;
        double budget = SAFETY_RATIO * rules.overloadMultiple() * factor * capacity;
        return Math.max(budget, Math.min(1, MIN_FLEET_SENDS / nodes));
    }

    /** Counts an attempt that is sent to a server. */
    public void recordSend(Server server, long now) {
        if (!isWarm(server, now)) {
            server.slowStart().recordSend(now);
        }
    }

    /**
     * Returns whether a send threshold is set for a server in slow start. Such a server is
     * preferred when it may be sent a request.
     */
    public boolean hasSendThreshold(Server server, long now) {
        return server.slowStart().hasSendThreshold() && !isWarm(server, now);
    }

    /**
     * Returns whether an attempt that was assigned to a server earlier may still start at this
     * instant. During slow start it may not after a long wait for a connection: several such
     * attempts could reach the server together, outside of the windows in which they were counted.
     */
    public boolean permitsStart(Attempt attempt, long at) {
        return isWarm(attempt.server(), at)
                || at - attempt.sentAt() <= MAX_START_DELAY_RATIO * rules.overloadWindow();
    }
}
