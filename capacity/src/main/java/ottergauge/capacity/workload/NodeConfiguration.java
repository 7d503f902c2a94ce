// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.workload;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import ottergauge.protocol.Address;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.ProtocolException;

/**
 * The configuration of one node in a fleet of 780 nodes. Benchmarks and node processes use the same
 * configuration: responses carry load reports, a load probe costs more than it is worth, and
 * requests of all classes may be retried.
 */
public record NodeConfiguration(
        Address listen, Address discovery, long seed, int classes, EndpointList knownEndpoints) {

    /** Number of nodes in the fleet of the measured node. */
    public static final int NODES = 780;

    private static final JsonFactory JSON = new JsonFactory();
    private static final int MAX_SOCKETS = 1024;
    private static final int MEMORY_MB = 128;
    private static final double LATENCY_OBJECTIVE_MS = 400;
    private static final double DEADLINE_MS = 1000;
    private static final double PROBE_COST = 0.08;
    private static final double SLOW_START_MS = 9000;
    private static final double INITIAL_CAPACITY_RATIO = 0.3;
    private static final double OVERLOAD_MULTIPLE = 3;
    private static final double OVERLOAD_WINDOW_MS = 1000;
    private static final double RESPONSE_TOLERANCE_MS = 5;
    private static final double DRAIN_GRACE_MS = 250;
    private static final double MAX_POLL_INTERVAL_MS = 10_000;
    private static final int MAX_ATTEMPTS = 5;
    private static final double MAX_RETRY_AFTER_MS = 600;
    private static final double CONNECT_TIMEOUT_MS = 200;
    private static final double CONNECTION_IDLE_TIMEOUT_MS = 10_000;

    /** Returns the name of the request class with this index, which starts at 0. */
    public static String className(int number) {
        return "class-%03d".formatted(number);
    }

    /** Returns the configuration as the node parses it. */
    public NodeConfig read() {
        try {
            return NodeConfig.read(json());
        } catch (ProtocolException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Returns the content of the configuration file. */
    public byte[] json() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeStringField("name", "capacity");
            out.writeStringField("listen", listen.toString());
            out.writeStringField("discovery", discovery.toString());
            out.writeStringField("seed", Long.toHexString(seed));
            out.writeObjectFieldStart("limits");
            out.writeNumberField("cores", 1.0);
            out.writeNumberField("memory_mb", MEMORY_MB);
            out.writeNumberField("sockets", MAX_SOCKETS);
            out.writeEndObject();
            out.writeFieldName("known");
            out.writeRawValue(new String(knownEndpoints.json(), StandardCharsets.UTF_8));
            out.writeObjectFieldStart("settings");
            writeSettings(out);
            out.writeEndObject();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private void writeSettings(JsonGenerator out) throws IOException {
        out.writeNumberField("me", 0);
        out.writeNumberField("balancers", NODES);
        out.writeStringField("zone", Fleet.ZONES.get(0));
        writeNames(out, "zones", Fleet.ZONES);
        writeNames(out, "kinds", Fleet.KINDS);
        out.writeStringField("registryMode", "on_request");
        out.writeObjectFieldStart("clients");
        out.writeBooleanField("marksRetry", true);
        out.writeEndObject();
        out.writeObjectFieldStart("reporting");
        out.writeStringField("how", "inline");
        writeNames(out, "fields", List.of("outstanding"));
        out.writeEndObject();
        writeLimits(out);
        writeRules(out);
        out.writeObjectFieldStart("penalties");
        out.writeNumberField("probe", PROBE_COST);
        out.writeEndObject();
        writeClasses(out);
    }

    private static void writeLimits(JsonGenerator out) throws IOException {
        out.writeObjectFieldStart("ceilings");
        out.writeBooleanField("probes", true);
        out.writeBooleanField("cancel", true);
        out.writeBooleanField("retryAfter", true);
        out.writeNumberField("maxAttempts", MAX_ATTEMPTS);
        out.writeNumberField("maxRetryAfterMs", MAX_RETRY_AFTER_MS);
        out.writeNumberField("connectTimeoutMs", CONNECT_TIMEOUT_MS);
        out.writeNumberField("connIdleMs", CONNECTION_IDLE_TIMEOUT_MS);
        out.writeEndObject();
    }

    private static void writeRules(JsonGenerator out) throws IOException {
        out.writeObjectFieldStart("rules");
        out.writeNumberField("answerSlackMs", RESPONSE_TOLERANCE_MS);
        out.writeNumberField("stopSendingWithinMs", DRAIN_GRACE_MS);
        out.writeNumberField("coldFrom", INITIAL_CAPACITY_RATIO);
        out.writeNumberField("coldMs", SLOW_START_MS);
        out.writeNumberField("tipMultiple", OVERLOAD_MULTIPLE);
        out.writeNumberField("fallMs", OVERLOAD_WINDOW_MS);
        out.writeNumberField("mustAskInMs", MAX_POLL_INTERVAL_MS);
        out.writeEndObject();
    }

    private void writeClasses(JsonGenerator out) throws IOException {
        out.writeArrayFieldStart("classes");
        for (int number = 0; number < classes; number++) {
            out.writeStartObject();
            out.writeStringField("name", className(number));
            out.writeStringField("semantics", "free");
            out.writeNumberField("aimMs", LATENCY_OBJECTIVE_MS);
            out.writeNumberField("hardLimitMs", DEADLINE_MS);
            out.writeNumberField("value", 1.0);
            out.writeEndObject();
        }
        out.writeEndArray();
    }

    private static void writeNames(JsonGenerator out, String field, List<String> names)
            throws IOException {
        out.writeArrayFieldStart(field);
        for (String name : names) {
            out.writeString(name);
        }
        out.writeEndArray();
    }
}
