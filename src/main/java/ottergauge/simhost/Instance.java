// SPDX-License-Identifier: Apache-2.0
package ottergauge.simhost;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ottergauge.Decide;
import ottergauge.DecisionApi.ActionSink;
import ottergauge.DecisionApi.AnswerStarted;
import ottergauge.DecisionApi.AttemptEnded;
import ottergauge.DecisionApi.ClientGone;
import ottergauge.DecisionApi.Event;
import ottergauge.DecisionApi.ListFailed;
import ottergauge.DecisionApi.ListScope;
import ottergauge.DecisionApi.ListedServer;
import ottergauge.DecisionApi.ProbeEnded;
import ottergauge.DecisionApi.RequestArrived;
import ottergauge.DecisionApi.RequestClass;
import ottergauge.DecisionApi.Result;
import ottergauge.DecisionApi.ServerList;
import ottergauge.DecisionApi.ServerState;
import ottergauge.DecisionApi.Settings;
import ottergauge.DecisionApi.TimerFired;
import ottergauge.settings.SettingsReader;

/** One hosted decision module, with the names of its settings resolved to indices. */
final class Instance {

    private static final int CLIENT_REPEAT = 2;

    private final Decide decide;
    private final Map<String, Integer> classes = new HashMap<>();
    private final List<String> zones;
    private final List<String> kinds;

    Instance(long seed, Map<String, Object> config) {
        Settings settings = SettingsReader.settings(config);
        for (RequestClass c : settings.classes()) {
            classes.put(c.name(), classes.size());
        }
        zones = SettingsReader.names(config, "zones");
        kinds = SettingsReader.names(config, "kinds");
        decide = new Decide(settings, seed);
    }

    void handle(long now, Message m, List<Message.Entry> entries, ActionSink out) {
        // Nodes tell each other nothing; what one of another build tells is passed over.
        if (!"NoteFrom".equals(m.name)) {
            decide.handle(now, event(m, entries), out);
        }
    }

    private Event event(Message m, List<Message.Entry> entries) {
        return switch (m.name) {
            case "BackendsChanged" -> list(m, entries);
            case "Query" ->
                    new RequestArrived(
                            id(m),
                            requestClass(m),
                            micros(m.giveUpAtMs),
                            (m.attributes & CLIENT_REPEAT) != 0,
                            m.key);
            case "Headers" -> new AnswerStarted(id(m), m.attempt);
            case "Verdict" ->
                    new AttemptEnded(
                            id(m),
                            m.attempt,
                            m.server,
                            result(m),
                            micros(m.elapsedMs),
                            m.over,
                            m.report);
            case "Aborted" -> new ClientGone(id(m));
            case "Echo" -> new ProbeEnded(m.server, result(m), micros(m.elapsedMs), m.report);
            case "Due" -> new TimerFired(m.token);
            default -> throw new WireException("unknown message " + m.name);
        };
    }

    private Event list(Message m, List<Message.Entry> entries) {
        if ("X".equals(m.mode)) {
            return new ListFailed();
        }
        ListScope scope =
                switch (String.valueOf(m.mode)) {
                    case "D" -> ListScope.CHANGES;
                    case "F" -> ListScope.FULL;
                    case "C" -> ListScope.LAST_KNOWN;
                    default -> throw new WireException("unknown list mode " + m.mode);
                };
        if (entries == null) {
            throw new WireException("list " + m.listNumber + " was never given");
        }
        return new ServerList(scope, entries.stream().map(this::server).toList());
    }

    private ListedServer server(Message.Entry e) {
        ServerState state =
                switch (String.valueOf(e.state())) {
                    case "on" -> ServerState.UP;
                    case "fading" -> ServerState.DRAINING;
                    case "off" -> ServerState.GONE;
                    default -> throw new WireException("unknown availability " + e.state());
                };
        return new ListedServer(
                e.server(),
                zones.indexOf(e.zone()),
                kinds.indexOf(e.kind()),
                e.cell(),
                state,
                e.nominal(),
                micros(e.sinceMs()));
    }

    private int requestClass(Message m) {
        Integer index = classes.get(m.requestClass);
        if (index == null) {
            throw new WireException("unknown class " + m.requestClass);
        }
        return index;
    }

    private static String id(Message m) {
        if (m.requestId == null) {
            throw new WireException(m.name + " has no msgId");
        }
        return m.requestId;
    }

    private static Result result(Message m) {
        return switch (String.valueOf(m.code)) {
            case "GOOD" -> Result.SERVED;
            case "BAD" -> Result.ERROR;
            case "FULL" -> Result.REJECTED;
            case "LATE" -> Result.TIMED_OUT;
            case "NOCONN" -> Result.CONNECT_FAILED;
            case "RST" -> Result.RESET;
            case "CXL" -> Result.CANCELLED;
            case "NOP" -> Result.NOT_SENT;
            default -> throw new WireException("unknown outcome " + m.code);
        };
    }

    static long micros(double ms) {
        return Math.round(ms * 1000);
    }
}
