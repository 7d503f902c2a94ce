// SPDX-License-Identifier: Apache-2.0
package ottergauge.simhost;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import ottergauge.decision.DecisionEngine;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionActionSink;
import ottergauge.decision.api.DecisionEvent;
import ottergauge.decision.api.DecisionEvent.AttemptEnded;
import ottergauge.decision.api.DecisionEvent.ClientDisconnected;
import ottergauge.decision.api.DecisionEvent.DiscoveryFailed;
import ottergauge.decision.api.DecisionEvent.EndpointUpdate;
import ottergauge.decision.api.DecisionEvent.ProbeEnded;
import ottergauge.decision.api.DecisionEvent.RequestArrived;
import ottergauge.decision.api.DecisionEvent.ResponseStarted;
import ottergauge.decision.api.DecisionEvent.TimerFired;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.api.Endpoint;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.RequestClass;
import ottergauge.decision.api.UpdateScope;
import ottergauge.settings.SettingsReader;

/** One hosted decision module, with the names of its settings resolved to indices. */
final class Instance {

    private static final int CLIENT_REPEAT = 2;

    private final DecisionEngine decide;
    private final Map<String, Integer> classes = new HashMap<>();
    private final List<String> zones;
    private final List<String> kinds;

    Instance(long seed, Map<String, Object> config) {
        SettingsReader reader = new SettingsReader(config);
        DecisionSettings settings = reader.decisionSettings();
        for (RequestClass c : settings.requestClasses()) {
            classes.put(c.name(), classes.size());
        }
        zones = reader.zoneNames();
        kinds = reader.kindNames();
        decide = new DecisionEngine(settings, seed);
    }

    void handle(long now, Message m, List<Message.Entry> entries, DecisionActionSink out) {
        // Nodes tell each other nothing; what one of another build tells is passed over.
        if (!"NoteFrom".equals(m.name)) {
            decide.handle(now, event(m, entries), out);
        }
    }

    private DecisionEvent event(Message m, List<Message.Entry> entries) {
        return switch (m.name) {
            case "BackendsChanged" -> list(m, entries);
            case "Query" ->
                    new RequestArrived(
                            id(m),
                            requestClass(m),
                            micros(m.giveUpAtMs),
                            (m.attributes & CLIENT_REPEAT) != 0,
                            m.key);
            case "Headers" -> new ResponseStarted(id(m), m.attempt);
            case "Verdict" ->
                    new AttemptEnded(
                            id(m),
                            m.attempt,
                            m.server,
                            result(m),
                            micros(m.elapsedMs),
                            m.over,
                            m.report);
            case "Aborted" -> new ClientDisconnected(id(m));
            case "Echo" -> new ProbeEnded(m.server, result(m), micros(m.elapsedMs), m.report);
            case "Due" -> new TimerFired(m.token);
            default -> throw new WireException("unknown message " + m.name);
        };
    }

    private DecisionEvent list(Message m, List<Message.Entry> entries) {
        if ("X".equals(m.mode)) {
            return new DiscoveryFailed();
        }
        UpdateScope scope =
                switch (String.valueOf(m.mode)) {
                    case "D" -> UpdateScope.INCREMENTAL;
                    case "F" -> UpdateScope.FULL;
                    case "C" -> UpdateScope.LAST_KNOWN;
                    default -> throw new WireException("unknown list mode " + m.mode);
                };
        if (entries == null) {
            throw new WireException("list " + m.listNumber + " was never given");
        }
        return new EndpointUpdate(scope, entries.stream().map(this::server).toList());
    }

    private Endpoint server(Message.Entry e) {
        EndpointState state =
                switch (String.valueOf(e.state())) {
                    case "on" -> EndpointState.UP;
                    case "fading" -> EndpointState.DRAINING;
                    case "off" -> EndpointState.REMOVED;
                    default -> throw new WireException("unknown availability " + e.state());
                };
        return new Endpoint(
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

    private static AttemptResult result(Message m) {
        return switch (String.valueOf(m.code)) {
            case "GOOD" -> AttemptResult.SERVED;
            case "BAD" -> AttemptResult.ERROR;
            case "FULL" -> AttemptResult.REJECTED;
            case "LATE" -> AttemptResult.TIMED_OUT;
            case "NOCONN" -> AttemptResult.CONNECT_FAILED;
            case "RST" -> AttemptResult.RESET;
            case "CXL" -> AttemptResult.CANCELLED;
            case "NOP" -> AttemptResult.NOT_SENT;
            default -> throw new WireException("unknown outcome " + m.code);
        };
    }

    static long micros(double ms) {
        return Math.round(ms * 1000);
    }
}
