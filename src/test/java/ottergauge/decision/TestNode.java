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

/** Drives one decision module with events; the clock is {@link #now}, in microseconds. */
final class TestNode {
    static final long MS = 1000;
    static final LoadReport IDLE = new LoadReport(0, 0, 0, Double.NaN, Double.NaN);

    DecisionSettings settings;
    final DecisionEngine decide;
    final List<DecisionAction> all = new ArrayList<>();
    long now = 1_000_000;
    long key;

    TestNode(DecisionSettings settings) {
        this(settings, 1);
    }

    TestNode(DecisionSettings settings, long seed) {
        this.settings = settings;
        decide = new DecisionEngine(settings, seed);
    }

    /** Hands over an event now and returns the actions it drew. */
    List<DecisionAction> on(DecisionEvent event) {
        List<DecisionAction> actions = new ArrayList<>();
        decide.handle(now, event, actions::add);
        all.addAll(actions);
        return actions;
    }

    List<DecisionAction> after(long span) {
        now += span;
        return on(new TimerFired("tick"));
    }

    List<DecisionAction> servers(int count) {
        List<Endpoint> servers = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            servers.add(server(i, EndpointState.UP, 0));
        }
        return on(new EndpointUpdate(UpdateScope.FULL, servers));
    }

    /** Other settings come in force, with the list as it is. */
    List<DecisionAction> takeOver(DecisionSettings next) {
        settings = next;
        return on(
                new SettingsChanged(next, new EndpointUpdate(UpdateScope.INCREMENTAL, List.of())));
    }

    List<DecisionAction> change(long id, EndpointState state, long startedAt) {
        return on(
                new EndpointUpdate(UpdateScope.INCREMENTAL, List.of(server(id, state, startedAt))));
    }

    /** Server {@code id} stands in zone and cell {@code id % 2}. */
    static Endpoint server(long id, EndpointState state, long startedAt) {
        return new Endpoint(id, (int) (id % 2), 0, (int) (id % 2), state, 1, startedAt);
    }

    List<DecisionAction> arrive(String id) {
        return arrive(id, 0, now + settings.requestClasses().get(0).deadline(), false);
    }

    List<DecisionAction> arrive(String id, int requestClass, long giveUpAt, boolean repeat) {
        return on(new RequestArrived(id, requestClass, giveUpAt, repeat, key));
    }

    List<DecisionAction> ended(
            String id, int attempt, long server, AttemptResult result, long elapsed) {
        boolean over = result == AttemptResult.SERVED;
        return on(new AttemptEnded(id, attempt, server, result, elapsed, over, LoadReport.NONE));
    }

    List<DecisionAction> probed(long server, double inFlight) {
        return on(
                new ProbeEnded(
                        server, AttemptResult.SERVED, MS, new LoadReport(inFlight, 0, 0, 0, 0)));
    }

    /**
     * Sends a request, lets it be served after {@code elapsed}, and returns the server that served
     * it.
     */
    long serve(String id, long elapsed) {
        SendAttempt send = only(SendAttempt.class, arrive(id));
        now += elapsed;
        ended(id, 0, send.server(), AttemptResult.SERVED, elapsed);
        return send.server();
    }

    /**
     * Ends an attempt as served; the answer says how many requests its server still holds besides.
     */
    List<DecisionAction> answered(String id, long server, long elapsed, int left) {
        return on(
                new AttemptEnded(
                        id,
                        0,
                        server,
                        AttemptResult.SERVED,
                        elapsed,
                        true,
                        new LoadReport(left + 1, left, 0.5, Double.NaN, Double.NaN)));
    }

    static <T extends DecisionAction> List<T> those(Class<T> type, List<DecisionAction> actions) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    static <T extends DecisionAction> T only(Class<T> type, List<DecisionAction> actions) {
        List<T> found = those(type, actions);
        if (found.size() != 1) {
            throw new AssertionError("one " + type.getSimpleName() + " expected in " + actions);
        }
        return found.get(0);
    }
}
