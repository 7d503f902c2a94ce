// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import java.util.ArrayList;
import java.util.List;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionAction;
import ottergauge.decision.api.DecisionAction.SendAttempt;
import ottergauge.decision.api.DecisionEvent;
import ottergauge.decision.api.DecisionEvent.AttemptEnded;
import ottergauge.decision.api.DecisionEvent.EndpointUpdate;
import ottergauge.decision.api.DecisionEvent.ProbeEnded;
import ottergauge.decision.api.DecisionEvent.RequestArrived;
import ottergauge.decision.api.DecisionEvent.SettingsChanged;
import ottergauge.decision.api.DecisionEvent.TimerFired;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.api.Endpoint;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.LoadReport;
import ottergauge.decision.api.UpdateScope;

/**
 * Passes events to the decision engine of one node and collects its actions. The clock is {@link
 * #now}, in microseconds.
 */
final class TestNode {
    static final long MS = 1000;
    static final LoadReport IDLE = new LoadReport(0, 0, 0, Double.NaN, Double.NaN);

    DecisionSettings settings;
    final DecisionEngine engine;
    final List<DecisionAction> allActions = new ArrayList<>();
    long now = 1_000_000;
    long affinityKey;

    TestNode(DecisionSettings settings) {
        this(settings, 1);
    }

    TestNode(DecisionSettings settings, long seed) {
        this.settings = settings;
        engine = new DecisionEngine(settings, seed);
    }

    /** Passes an event to the engine at the current time and returns the resulting actions. */
    List<DecisionAction> deliver(DecisionEvent event) {
        List<DecisionAction> actions = new ArrayList<>();
        engine.handle(now, event, actions::add);
        allActions.addAll(actions);
        return actions;
    }

    /** Advances the clock by this time span and fires the timer. */
    List<DecisionAction> after(long span) {
        now += span;
        return deliver(new TimerFired("tick"));
    }

    /** Replaces the endpoint list with this number of servers, whose ids start at 1. */
    List<DecisionAction> servers(int count) {
        List<Endpoint> servers = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            servers.add(server(i, EndpointState.UP, 0));
        }
        return deliver(new EndpointUpdate(UpdateScope.FULL, servers));
    }

    /** Applies new settings without changing the endpoint list. */
    List<DecisionAction> applySettings(DecisionSettings next) {
        settings = next;
        return deliver(
                new SettingsChanged(next, new EndpointUpdate(UpdateScope.INCREMENTAL, List.of())));
    }

    /** Passes an incremental endpoint update for one server. */
    List<DecisionAction> updateServer(long id, EndpointState state, long startedAt) {
        return deliver(
                new EndpointUpdate(UpdateScope.INCREMENTAL, List.of(server(id, state, startedAt))));
    }

    /** Returns an endpoint whose zone and cell are both {@code id % 2}. */
    static Endpoint server(long id, EndpointState state, long startedAt) {
        return new Endpoint(id, (int) (id % 2), 0, (int) (id % 2), state, 1, startedAt);
    }

    List<DecisionAction> arrive(String id) {
        return arrive(id, 0, now + settings.requestClasses().get(0).deadline(), false);
    }

    List<DecisionAction> arrive(String id, int requestClass, long giveUpAt, boolean clientRetry) {
        return deliver(new RequestArrived(id, requestClass, giveUpAt, clientRetry, affinityKey));
    }

    List<DecisionAction> endAttempt(
            String id, int attempt, long server, AttemptResult result, long elapsed) {
        boolean requestComplete = result == AttemptResult.SERVED;
        return deliver(
                new AttemptEnded(
                        id, attempt, server, result, elapsed, requestComplete, LoadReport.NONE));
    }

    /** Ends a load probe successfully. The server reports this number of requests in flight. */
    List<DecisionAction> probed(long server, double inFlight) {
        return deliver(
                new ProbeEnded(
                        server, AttemptResult.SERVED, MS, new LoadReport(inFlight, 0, 0, 0, 0)));
    }

    /**
     * Sends a request that succeeds after {@code elapsed}, and returns the server that received it.
     */
    long serve(String id, long elapsed) {
        SendAttempt send = onlyOfType(SendAttempt.class, arrive(id));
        now += elapsed;
        endAttempt(id, 0, send.server(), AttemptResult.SERVED, elapsed);
        return send.server();
    }

    /**
     * Ends an attempt successfully.
     *
     * @param left number of other requests that the server still holds, by its load report
     */
    List<DecisionAction> respondWithLoad(String id, long server, long elapsed, int left) {
        return deliver(
                new AttemptEnded(
                        id,
                        0,
                        server,
                        AttemptResult.SERVED,
                        elapsed,
                        true,
                        new LoadReport(left + 1, left, 0.5, Double.NaN, Double.NaN)));
    }

    static <T extends DecisionAction> List<T> ofType(Class<T> type, List<DecisionAction> actions) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    static <T extends DecisionAction> T onlyOfType(Class<T> type, List<DecisionAction> actions) {
        List<T> found = ofType(type, actions);
        if (found.size() != 1) {
            throw new AssertionError("one " + type.getSimpleName() + " expected in " + actions);
        }
        return found.get(0);
    }
}
