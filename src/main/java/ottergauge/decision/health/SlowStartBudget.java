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
 * Limits what this node sends to a server that warms up. Instants are microseconds. See
 * docs/design.md, "Slow-start budget".
 */
public final class SlowStartBudget {

    // The part of the budget that is used, which is an estimate.
    private static final double SAFETY_RATIO = 0.6;
    // Sends of all nodes together in a window, at the least: with none a server never warms up.
    private static final double MIN_FLEET_SENDS = 2;
    // A send counts from its pick; it may begin in this part of the window from then.
    private static final double MAX_START_DELAY_RATIO = 0.25;

    private final WarmUpSchedule warmUp;
    private final ServerSubset subset;
    private final LoadSourceSelector loadSource;
    private final ServiceTimes serviceTimes;
    private final CapacityEstimates capacities;
    private final ServedRate servedRate;
    private final SplittableRandom random;
    private ServiceRules rules;

    /** Creates a budget by these estimates. */
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

    /** Takes other rules. */
    public void applySettings(ServiceRules next) {
        rules = next;
    }

    /** Whether a server has its full capacity. */
    public boolean isWarm(Server server, long now) {
        return factor(server, now) >= 1;
    }

    private double factor(Server server, long at) {
        return warmUp.factor(server.slowStart().startedAt(), at);
    }

    /** Whether a server may be sent a request now. A budget under one is drawn for. */
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
        // With one send for each of hundreds of nodes the server would fall over.
        if (!state.hasDraw()) {
            state.setDraw(-Math.log(1 - random.nextDouble()), now);
        }
        return isDrawReached(server, now);
    }

    private boolean isDrawReached(Server server, long now) {
        SlowStartState state = server.slowStart();
        long waited = now - state.drawnAt();
        return waited * sendsPerWindow(factor(server, now - waited / 2))
                >= state.draw() * rules.overloadWindow();
    }

    // By what a server serves alone where loads are known, else by what this node sends to the mean
    // server, which that one carries.
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

    /** Counts a send to a server. */
    public void recordSend(Server server, long now) {
        if (!isWarm(server, now)) {
            server.slowStart().recordSend(now);
        }
    }

    /** Whether a warming server's draw may be reached, so that it should go first. */
    public boolean hasDraw(Server server, long now) {
        return server.slowStart().hasDraw() && !isWarm(server, now);
    }

    /**
     * Whether an attempt may still begin at this instant. Attempts that wait for connections would
     * else come together, outside of the windows that they were counted in.
     */
    public boolean permitsStart(Attempt attempt, long at) {
        return isWarm(attempt.server(), at)
                || at - attempt.sentAt() <= MAX_START_DELAY_RATIO * rules.overloadWindow();
    }
}
