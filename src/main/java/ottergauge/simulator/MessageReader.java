// SPDX-License-Identifier: Apache-2.0
package ottergauge.simulator;

import static ottergauge.simulator.FieldParser.micros;
import static ottergauge.simulator.FieldParser.require;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionEvent;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.LoadReport;
import ottergauge.decision.api.UpdateScope;
import ottergauge.settings.JsonTree;
import ottergauge.simulator.SimulatorMessage.EndpointEntry;
import ottergauge.simulator.SimulatorMessage.EndpointTable;
import ottergauge.simulator.SimulatorMessage.EndpointsChanged;
import ottergauge.simulator.SimulatorMessage.EngineEvent;
import ottergauge.simulator.SimulatorMessage.EngineExit;
import ottergauge.simulator.SimulatorMessage.EngineStart;
import ottergauge.simulator.SimulatorMessage.PeerNote;
import ottergauge.simulator.SimulatorMessage.RequestSent;

/** Reads one message and translates it from the simulator's format. */
final class MessageReader {

    private static final int MAX_TABLES = SimulatorAdapter.MAX_ENDPOINT_TABLES;
    private static final int CLIENT_RETRY_BIT = 2;

    private final JsonParser in;
    private final FieldParser value;

    /** {@code in} and {@code value} read from the same input. */
    MessageReader(JsonParser in, FieldParser value) {
        this.in = in;
        this.value = value;
    }

    /** Reads the object that begins at the current token. */
    SimulatorMessage message() throws IOException {
        Fields fields = new Fields();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String key = in.currentName();
            in.nextToken();
            switch (key) {
                case "msg" -> fields.name = value.text();
                case "msgId" -> fields.requestId = value.text();
                case "qos" -> fields.requestClass = value.text();
                case "pathKey" -> fields.affinityKey = value.hexadecimal();
                case "mode" -> fields.mode = value.text();
                case "code" -> fields.code = value.text();
                case "nonce" -> fields.timerToken = value.text();
                case "server" -> fields.server = value.integer(-1);
                case "shot" -> fields.attempt = (int) value.integer(-1);
                case "rosterId" -> fields.table = (int) value.integer(-1);
                case "attrs" -> fields.attributes = (int) value.integer(0);
                case "last" -> fields.requestComplete = value.bool();
                case "giveUpAtMs" -> fields.giveUpAt = micros(value.number(0));
                case "spentMs" -> fields.elapsed = micros(value.number(0));
                case "nonce64" -> fields.seed = value.lowBits();
                case "pressure" -> fields.loadReport = loadReport();
                case "entries" -> fields.entries = entries();
                case "config" -> fields.config = config();
                default -> in.skipChildren();
            }
        }
        require(fields.name != null, "a message has no msg");
        return fields.message();
    }

    private LoadReport loadReport() throws IOException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            in.skipChildren();
            return LoadReport.NONE;
        }
        double inFlight = Double.NaN;
        double queued = Double.NaN;
        double utilization = Double.NaN;
        double latencyMs = Double.NaN;
        double requestsPerSecond = Double.NaN;
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String key = in.currentName();
            in.nextToken();
            switch (key) {
                case "outstanding" -> inFlight = value.number(Double.NaN);
                case "backlog" -> queued = value.number(Double.NaN);
                case "utilization" -> utilization = value.number(Double.NaN);
                case "recent_ms" -> latencyMs = value.number(Double.NaN);
                case "throughput" -> requestsPerSecond = value.number(Double.NaN);
                default -> in.skipChildren();
            }
        }
        return new LoadReport(inFlight, queued, utilization, latencyMs * 1000, requestsPerSecond);
    }

    private List<EndpointEntry> entries() throws IOException {
        require(in.currentToken() == JsonToken.START_ARRAY, "entries is an array");
        List<EndpointEntry> entries = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            require(in.currentToken() == JsonToken.START_OBJECT, "an entry is an object");
            entries.add(entry());
        }
        return entries;
    }

    private EndpointEntry entry() throws IOException {
        long server = -1;
        String zone = null;
        String kind = null;
        int cell = 0;
        String availability = null;
        double nominalWeight = 1;
        double startedAtMs = 0;
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String key = in.currentName();
            in.nextToken();
            switch (key) {
                case "server" -> server = value.integer(-1);
                case "dc" -> zone = value.text();
                case "generationHw" -> kind = value.text();
                case "cohort" -> cell = (int) value.integer(0);
                case "availability" -> availability = value.text();
                case "nominal" -> nominalWeight = value.number(1);
                case "sinceMs" -> startedAtMs = value.number(0);
                default -> in.skipChildren();
            }
        }
        require(server >= 0, "an entry has no server");
        return new EndpointEntry(
                server, zone, kind, cell, state(availability), nominalWeight, micros(startedAtMs));
    }

    private static EndpointState state(String availability) {
        return switch (String.valueOf(availability)) {
            case "on" -> EndpointState.UP;
            case "fading" -> EndpointState.DRAINING;
            case "off" -> EndpointState.REMOVED;
            default -> throw new SimulatorFormatException("unknown availability " + availability);
        };
    }

    private Map<String, Object> config() throws IOException {
        require(in.currentToken() == JsonToken.START_OBJECT, "config is an object");
        return JsonTree.object(in);
    }

    /**
     * Collects the fields that a message may have. The message is created once all of its fields
     * are read, since their order is arbitrary.
     */
    private static final class Fields {

        private String name;
        private String requestId;
        private String requestClass;
        private String mode;
        private String code;
        private String timerToken;
        private long server = -1;
        private int attempt = -1;
        private long affinityKey;
        private int table = -1;
        private int attributes;
        private boolean requestComplete;
        private long giveUpAt;
        private long elapsed;
        private long seed;
        private LoadReport loadReport = LoadReport.NONE;
        private List<EndpointEntry> entries = List.of();
        private Map<String, Object> config;

        SimulatorMessage message() {
            return switch (name) {
                case "Ledger" -> endpointTable();
                case "Start" -> engineStart();
                case "Exit" -> new EngineExit();
                case "NoteFrom" -> new PeerNote();
                case "BackendsChanged" -> endpointsChanged();
                case "Query" ->
                        new RequestSent(
                                requestId(),
                                requestClass,
                                giveUpAt,
                                (attributes & CLIENT_RETRY_BIT) != 0,
                                affinityKey);
                default -> new EngineEvent(event());
            };
        }

        private DecisionEvent event() {
            return switch (name) {
                case "Headers" -> new DecisionEvent.ResponseStarted(requestId(), attempt);
                case "Verdict" ->
                        new DecisionEvent.AttemptEnded(
                                requestId(),
                                attempt,
                                server,
                                result(),
                                elapsed,
                                requestComplete,
                                loadReport);
                case "Aborted" -> new DecisionEvent.ClientDisconnected(requestId());
                case "Echo" -> new DecisionEvent.ProbeEnded(server, result(), elapsed, loadReport);
                case "Due" -> new DecisionEvent.TimerFired(timerToken);
                default -> throw new SimulatorFormatException("unknown message " + name);
            };
        }

        private EndpointTable endpointTable() {
            require(table >= 0 && table < MAX_TABLES, tableOutOfRange());
            return new EndpointTable(table, entries);
        }

        private EngineStart engineStart() {
            require(config != null, "Start has no config");
            return new EngineStart(seed, config);
        }

        private SimulatorMessage endpointsChanged() {
            require(table < MAX_TABLES, tableOutOfRange());
            return switch (String.valueOf(mode)) {
                case "X" -> new EngineEvent(new DecisionEvent.DiscoveryFailed());
                case "D" -> new EndpointsChanged(UpdateScope.INCREMENTAL, table);
                case "F" -> new EndpointsChanged(UpdateScope.FULL, table);
                case "C" -> new EndpointsChanged(UpdateScope.LAST_KNOWN, table);
                default -> throw new SimulatorFormatException("unknown list mode " + mode);
            };
        }

        private String tableOutOfRange() {
            return "list number " + table + " is out of range";
        }

        private String requestId() {
            if (requestId == null) {
                throw new SimulatorFormatException(name + " has no msgId");
            }
            return requestId;
        }

        private AttemptResult result() {
            return switch (String.valueOf(code)) {
                case "GOOD" -> AttemptResult.SERVED;
                case "BAD" -> AttemptResult.ERROR;
                case "FULL" -> AttemptResult.REJECTED;
                case "LATE" -> AttemptResult.TIMED_OUT;
                case "NOCONN" -> AttemptResult.CONNECT_FAILED;
                case "RST" -> AttemptResult.RESET;
                case "CXL" -> AttemptResult.CANCELLED;
                case "NOP" -> AttemptResult.NOT_SENT;
                default -> throw new SimulatorFormatException("unknown outcome " + code);
            };
        }
    }
}
