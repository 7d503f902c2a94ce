// SPDX-License-Identifier: Apache-2.0
package ottergauge.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ottergauge.decision.api.Costs;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.api.DeduplicationScope;
import ottergauge.decision.api.DiscoveryMode;
import ottergauge.decision.api.Idempotency;
import ottergauge.decision.api.RequestClass;
import ottergauge.decision.api.RequestLimits;
import ottergauge.decision.api.ServiceRules;

/**
 * Maps a deployment's settings object to the types of the decision module. An absent optional key
 * has a conservative default. Only this class contains the names of the keys.
 */
public final class SettingsReader {

    // A node that handles events only once a minute decides too late.
    private static final double MIN_EVENT_INTERVAL_MS = 0.001;
    private static final double MAX_EVENT_INTERVAL_MS = 60_000;
    // The number of nodes is limited because a server's slow-start budget is divided by it.
    private static final double MAX_NODES = 1_000_000;
    private static final double UNBOUNDED = Double.MAX_VALUE;
    private static final double MICROS_PER_MS = 1000.0;

    private static final double DEFAULT_EVENT_INTERVAL_MS = 1;
    private static final double DEFAULT_SLOW_START_FACTOR = 0.1;
    private static final double DEFAULT_SLOW_START_MS = 30_000;
    private static final double DEFAULT_FAILURE_WINDOW_MS = 1000;
    private static final double DEFAULT_DEADLINE_MS = 30_000;
    private static final double DEFAULT_CONNECT_TIMEOUT_MS = 1000;
    private static final double DEFAULT_SERVER_IDLE_TIMEOUT_MS = 15_000;
    private static final double DEFAULT_MAX_POLL_INTERVAL_MS = 10_000;

    private static final String NODE_INDEX = "me";
    private static final String NODE_COUNT = "balancers";
    private static final String ZONE = "zone";
    private static final String ZONES = "zones";
    private static final String KINDS = "kinds";
    private static final String EVENT_INTERVAL_MS = "roundMs";
    private static final String DISCOVERY_MODE = "registryMode";
    private static final String CACHE_AFFINITY = "warmKeys";
    private static final String PROBE = "probe";
    private static final String CLASSES = "classes";
    private static final String LATE_VALUE = "lateWorth";
    private static final String LATENCY_OBJECTIVE_MS = "aimMs";

    private final JsonObject root;
    private final JsonObject limits;
    private final JsonObject rules;
    private final JsonObject costs;

    /** Reads from a settings object that {@link JsonTree} has read. */
    public SettingsReader(Map<String, Object> settings) {
        root = new JsonObject(settings);
        limits = root.child("ceilings");
        rules = root.child("rules");
        costs = root.child("penalties");
    }

    /** The settings of the decision module. */
    public DecisionSettings decisionSettings() {
        return decisionSettings(
                "pushed".equals(root.text(DISCOVERY_MODE, ""))
                        ? DiscoveryMode.PUSH
                        : DiscoveryMode.POLL);
    }

    /**
     * The settings of the decision module, with this discovery mode instead of the one in the
     * settings object.
     */
    public DecisionSettings decisionSettings(DiscoveryMode discoveryMode) {
        return new DecisionSettings(
                (int) root.number(NODE_INDEX, 0),
                Math.max(1, (int) root.number(NODE_COUNT, 1)),
                root.list(ZONES).indexOf(root.text(ZONE, "")),
                root.micros(EVENT_INTERVAL_MS, DEFAULT_EVENT_INTERVAL_MS),
                discoveryMode,
                reportsLoad(),
                root.child("clients").flag("marksRetry"),
                specifics().flag(CACHE_AFFINITY),
                requestLimits(),
                serviceRules(),
                new Costs(costs.number(PROBE, 0), costs.number("connection", 0)),
                root.children(CLASSES).stream().map(SettingsReader::requestClass).toList());
    }

    private boolean reportsLoad() {
        JsonObject reporting = root.child("reporting");
        return !"off".equals(reporting.text("how", "off"))
                && reporting.list("fields").contains("outstanding");
    }

    private JsonObject specifics() {
        return root.child("specifics");
    }

    private RequestLimits requestLimits() {
        return new RequestLimits(
                limits.flag("probes"),
                limits.flag("cancel"),
                limits.flag("retryAfter"),
                Math.max(1, (int) limits.number("maxAttempts", 1)),
                limits.micros("maxRetryAfterMs", 0));
    }

    private ServiceRules serviceRules() {
        return new ServiceRules(
                rules.micros("answerSlackMs", 0),
                rules.micros("stopSendingWithinMs", 0),
                rules.number("coldFrom", DEFAULT_SLOW_START_FACTOR),
                rules.micros("coldMs", DEFAULT_SLOW_START_MS),
                rules.number("tipMultiple", 1),
                rules.micros("fallMs", DEFAULT_FAILURE_WINDOW_MS));
    }

    private static RequestClass requestClass(JsonObject fields) {
        long deadline = fields.micros("hardLimitMs", DEFAULT_DEADLINE_MS);
        return new RequestClass(
                fields.text("name", ""),
                idempotency(fields.text("semantics", "")),
                deduplicationScope(fields.text("group", "")),
                fields.micros(LATENCY_OBJECTIVE_MS, deadline / MICROS_PER_MS),
                deadline,
                fields.micros("windowMs", 0),
                fields.number("value", 1),
                fields.number(LATE_VALUE, 0),
                fields.flag("streamed"));
    }

    private static Idempotency idempotency(String semantics) {
        return switch (semantics) {
            case "free" -> Idempotency.IDEMPOTENT;
            case "guarded" -> Idempotency.KEYED;
            default -> Idempotency.NON_IDEMPOTENT;
        };
    }

    private static DeduplicationScope deduplicationScope(String group) {
        return switch (group) {
            case "all" -> DeduplicationScope.FLEET;
            case "zone" -> DeduplicationScope.ZONE;
            default -> DeduplicationScope.CELL;
        };
    }

    /** Names of the zones; a zone's number is its index. */
    public List<String> zoneNames() {
        return root.names(ZONES);
    }

    /** Names of the servers' machine types; a kind's number is its index. */
    public List<String> kindNames() {
        return root.names(KINDS);
    }

    /** How long a connection to a server may take to be established, in microseconds. */
    public long connectTimeoutMicros() {
        return limits.micros("connectTimeoutMs", DEFAULT_CONNECT_TIMEOUT_MS);
    }

    /** How long servers keep an idle connection open, in microseconds. */
    public long serverIdleTimeoutMicros() {
        return limits.micros("connIdleMs", DEFAULT_SERVER_IDLE_TIMEOUT_MS);
    }

    /** The longest time between two polls of discovery, in microseconds. */
    public long maxPollIntervalMicros() {
        return rules.micros("mustAskInMs", DEFAULT_MAX_POLL_INTERVAL_MS);
    }

    /** The first setting that is invalid, if there is one. */
    public Optional<SettingsFault> firstFault() {
        List<SettingsFault> faults = new ArrayList<>();
        checkRange(root, EVENT_INTERVAL_MS, MIN_EVENT_INTERVAL_MS, MAX_EVENT_INTERVAL_MS, faults);
        checkRange(root, NODE_COUNT, 1, MAX_NODES, faults);
        checkRange(root, NODE_INDEX, 0, MAX_NODES, faults);
        for (JsonObject requestClass : root.children(CLASSES)) {
            checkRange(requestClass, LATE_VALUE, 0, 1, faults);
            checkRange(requestClass, LATENCY_OBJECTIVE_MS, 0, UNBOUNDED, faults);
        }
        checkRange(costs, PROBE, 0, UNBOUNDED, faults);
        Object affinity = specifics().value(CACHE_AFFINITY);
        if (affinity != null && !(affinity instanceof Boolean)) {
            faults.add(
                    new SettingsFault(CACHE_AFFINITY, String.valueOf(affinity), "true or false"));
        }
        return faults.stream().findFirst();
    }

    private static void checkRange(
            JsonObject fields, String key, double min, double max, List<SettingsFault> faults) {
        Object value = fields.value(key);
        if (value != null && !(value instanceof Double number && number >= min && number <= max)) {
            String range = max < UNBOUNDED ? "from " + min + " to " + max : "not below " + min;
            faults.add(new SettingsFault(key, String.valueOf(value), "a number " + range));
        }
    }
}
