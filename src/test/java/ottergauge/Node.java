// SPDX-License-Identifier: Apache-2.0
package ottergauge;

import java.util.ArrayList;
import java.util.List;
import ottergauge.DecisionApi.Action;
import ottergauge.DecisionApi.AttemptEnded;
import ottergauge.DecisionApi.Event;
import ottergauge.DecisionApi.ListScope;
import ottergauge.DecisionApi.ListedServer;
import ottergauge.DecisionApi.LoadReport;
import ottergauge.DecisionApi.ProbeEnded;
import ottergauge.DecisionApi.RequestArrived;
import ottergauge.DecisionApi.Result;
import ottergauge.DecisionApi.Send;
import ottergauge.DecisionApi.ServerList;
import ottergauge.DecisionApi.ServerState;
import ottergauge.DecisionApi.Settings;
import ottergauge.DecisionApi.SettingsChanged;
import ottergauge.DecisionApi.TimerFired;

/** Drives one decision module with events; the clock is {@link #now}, in microseconds. */
final class Node {
    static final long MS = 1000;
    static final LoadReport IDLE = new LoadReport(0, 0, 0, Double.NaN, Double.NaN);

    Settings settings;
    final Decide decide;
    final List<Action> all = new ArrayList<>();
    long now = 1_000_000;
    long key;

    Node(Settings settings) {
        this(settings, 1);
    }

    Node(Settings settings, long seed) {
        this.settings = settings;
        decide = new Decide(settings, seed);
    }

    /** Hands over an event now and returns the actions it drew. */
    List<Action> on(Event event) {
        List<Action> actions = new ArrayList<>();
        decide.handle(now, event, actions::add);
        all.addAll(actions);
        return actions;
    }

    List<Action> after(long span) {
        now += span;
        return on(new TimerFired("tick"));
    }

    List<Action> servers(int count) {
        List<ListedServer> servers = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            servers.add(server(i, ServerState.UP, 0));
        }
        return on(new ServerList(ListScope.FULL, servers));
    }

    /** Other settings come in force, with the list as it is. */
    List<Action> takeOver(Settings next) {
        settings = next;
        return on(new SettingsChanged(next, new ServerList(ListScope.CHANGES, List.of())));
    }

    List<Action> change(long id, ServerState state, long startedAt) {
        return on(new ServerList(ListScope.CHANGES, List.of(server(id, state, startedAt))));
    }

    /** Server {@code id} stands in zone and cell {@code id % 2}. */
    static ListedServer server(long id, ServerState state, long startedAt) {
        return new ListedServer(id, (int) (id % 2), 0, (int) (id % 2), state, 1, startedAt);
    }

    List<Action> arrive(String id) {
        return arrive(id, 0, now + settings.classes().get(0).deadline(), false);
    }

    List<Action> arrive(String id, int requestClass, long giveUpAt, boolean repeat) {
        return on(new RequestArrived(id, requestClass, giveUpAt, repeat, key));
    }

    List<Action> ended(String id, int attempt, long server, Result result, long elapsed) {
        boolean over = result == Result.SERVED;
        return on(new AttemptEnded(id, attempt, server, result, elapsed, over, LoadReport.NONE));
    }

    List<Action> probed(long server, double inFlight) {
        return on(new ProbeEnded(server, Result.SERVED, MS, new LoadReport(inFlight, 0, 0, 0, 0)));
    }

    /**
     * Sends a request, lets it be served after {@code elapsed}, and returns the server that served
     * it.
     */
    long serve(String id, long elapsed) {
        Send send = only(Send.class, arrive(id));
        now += elapsed;
        ended(id, 0, send.server(), Result.SERVED, elapsed);
        return send.server();
    }

    /**
     * Ends an attempt as served; the answer says how many requests its server still holds besides.
     */
    List<Action> answered(String id, long server, long elapsed, int left) {
        return on(
                new AttemptEnded(
                        id,
                        0,
                        server,
                        Result.SERVED,
                        elapsed,
                        true,
                        new LoadReport(left + 1, left, 0.5, Double.NaN, Double.NaN)));
    }

    static <T extends Action> List<T> those(Class<T> type, List<Action> actions) {
        return actions.stream().filter(type::isInstance).map(type::cast).toList();
    }

    static <T extends Action> T only(Class<T> type, List<Action> actions) {
        List<T> found = those(type, actions);
        if (found.size() != 1) {
            throw new AssertionError("one " + type.getSimpleName() + " expected in " + actions);
        }
        return found.get(0);
    }
}
