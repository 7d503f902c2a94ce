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
 * Reads a deployment's settings object; an optional key that is missing takes the cautious value.
 */
public final class SettingsReader {

    // A node that hears of things once a minute decides nothing in time; under a microsecond is no
    // span here.
    private static final double LEAST_ROUND_MS = 0.001;
    private static final double MOST_ROUND_MS = 60_000;
    // Far more than any fleet; a node's part of a cold server's budget is divided by it.
    private static final double MOST_NODES = 1_000_000;

    private final Map<String, Object> config;

    public SettingsReader(Map<String, Object> config) {
        this.config = config;
    }

    public static DecisionSettings settings(Map<String, Object> config) {
        SettingsReader root = new SettingsReader(config);
        SettingsReader limits = root.child("ceilings");
        SettingsReader rules = root.child("rules");
        SettingsReader prices = root.child("penalties");
        List<?> fields = root.child("reporting").list("fields");
        boolean reports = !"off".equals(root.child("reporting").text("how", "off"));
        return new DecisionSettings(
                (int) root.number("me", 0),
                Math.max(1, (int) root.number("balancers", 1)),
                root.list("zones").indexOf(root.text("zone", "")),
                root.micros("roundMs", 1),
                "pushed".equals(root.text("registryMode", ""))
                        ? DiscoveryMode.PUSH
                        : DiscoveryMode.POLL,
                reports && fields.contains("outstanding"),
                root.child("clients").flag("marksRetry"),
                root.child("specifics").flag("warmKeys"),
                new RequestLimits(
                        limits.flag("probes"),
                        limits.flag("cancel"),
                        limits.flag("retryAfter"),
                        Math.max(1, (int) limits.number("maxAttempts", 1)),
                        limits.micros("maxRetryAfterMs", 0)),
                new ServiceRules(
                        rules.micros("answerSlackMs", 0),
                        rules.micros("stopSendingWithinMs", 0),
                        rules.number("coldFrom", 0.1),
                        rules.micros("coldMs", 30_000),
                        rules.number("tipMultiple", 1),
                        rules.micros("fallMs", 1000)),
                new Costs(prices.number("probe", 0), prices.number("connection", 0)),
                root.children("classes").stream().map(SettingsReader::requestClass).toList());
    }

    /** What is wrong with settings that a person wrote, in one line; null if nothing is. */
    public static String fault(Map<String, Object> config) {
        return firstFault(config).map(SettingsFault::toString).orElse(null);
    }

    /** The first thing that is wrong with settings that a person wrote. */
    public static Optional<SettingsFault> firstFault(Map<String, Object> config) {
        SettingsReader root = new SettingsReader(config);
        List<SettingsFault> faults = new ArrayList<>();
        root.checkRange("roundMs", LEAST_ROUND_MS, MOST_ROUND_MS, faults);
        root.checkRange("balancers", 1, MOST_NODES, faults);
        root.checkRange("me", 0, MOST_NODES, faults);
        for (SettingsReader requestClass : root.children("classes")) {
            requestClass.checkRange("lateWorth", 0, 1, faults);
            requestClass.checkRange("aimMs", 0, Double.MAX_VALUE, faults);
        }
        root.child("penalties").checkRange("probe", 0, Double.MAX_VALUE, faults);
        Object warm = root.child("specifics").config.get("warmKeys");
        if (warm != null && !(warm instanceof Boolean)) {
            faults.add(new SettingsFault("warmKeys", String.valueOf(warm), "true or false"));
        }
        return faults.stream().findFirst();
    }

    private void checkRange(String key, double least, double most, List<SettingsFault> faults) {
        Object value = config.get(key);
        if (value != null
                && !(value instanceof Double number && number >= least && number <= most)) {
            String range =
                    most < Double.MAX_VALUE
                            ? "from " + least + " to " + most
                            : "not below " + least;
            faults.add(new SettingsFault(key, String.valueOf(value), "a number " + range));
        }
    }

    private static RequestClass requestClass(SettingsReader c) {
        Idempotency repeat =
                switch (c.text("semantics", "single_shot")) {
                    case "free" -> Idempotency.IDEMPOTENT;
                    case "guarded" -> Idempotency.KEYED;
                    default -> Idempotency.NON_IDEMPOTENT;
                };
        DeduplicationScope group =
                switch (c.text("group", "cell")) {
                    case "all" -> DeduplicationScope.FLEET;
                    case "zone" -> DeduplicationScope.ZONE;
                    default -> DeduplicationScope.CELL;
                };
        long deadline = c.micros("hardLimitMs", 30_000);
        return new RequestClass(
                c.text("name", ""),
                repeat,
                group,
                c.micros("aimMs", deadline / 1000.0),
                deadline,
                c.micros("windowMs", 0),
                c.number("value", 1),
                c.number("lateWorth", 0),
                c.flag("streamed"));
    }

    public static List<String> names(Map<String, Object> config, String key) {
        List<String> names = new ArrayList<>();
        for (Object name : new SettingsReader(config).list(key)) {
            names.add(String.valueOf(name));
        }
        return names;
    }

    @SuppressWarnings("unchecked")
    public SettingsReader child(String key) {
        Object child = config.get(key);
        return new SettingsReader(
                child instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of());
    }

    @SuppressWarnings("unchecked")
    private List<SettingsReader> children(String key) {
        List<SettingsReader> children = new ArrayList<>();
        for (Object child : list(key)) {
            if (child instanceof Map<?, ?> map) {
                children.add(new SettingsReader((Map<String, Object>) map));
            }
        }
        return children;
    }

    public List<?> list(String key) {
        return config.get(key) instanceof List<?> list ? list : List.of();
    }

    public double number(String key, double absent) {
        return config.get(key) instanceof Double number ? number : absent;
    }

    public long micros(String key, double absentMs) {
        return Math.round(number(key, absentMs) * 1000);
    }

    private boolean flag(String key) {
        return Boolean.TRUE.equals(config.get(key));
    }

    public String text(String key, String absent) {
        return config.get(key) instanceof String text ? text : absent;
    }
}
