// SPDX-License-Identifier: Apache-2.0
package ottergauge.migration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Translates a node's configuration for one deployment into its counterpart for another. What only
 * an operator knows of the new one stands in a shape: settings that take the place of the old ones.
 */
public final class Migration {

    /** What the new configuration does not say any more, and why. */
    public record Leftover(String key, Object old, String reason) {}

    /** The counterpart, and what of the old configuration is not in it. */
    public record Result(Map<String, Object> config, List<Leftover> left) {}

    private static final List<String> PROCESS =
            List.of("name", "listen", "discovery", "seed", "limits");
    private static final List<String> NEEDED =
            List.of("balancers", "zones", "zone", "registryMode", "reporting");
    private static final Set<String> OBJECTS =
            Set.of("ceilings", "rules", "penalties", "clients", "blend", "specifics");
    private static final Set<String> PLAIN =
            Set.of(
                    "me",
                    "balancers",
                    "zone",
                    "zones",
                    "kinds",
                    "registryMode",
                    "roundMs",
                    "classes",
                    "reporting",
                    "weights",
                    "worthBy",
                    "family",
                    "stages",
                    "tier");

    // Nodes no longer tell tenants apart; of a file that names none nothing is lost.
    private static final Set<String> TENANTS = Set.of("parties", "overShareWorth");

    private final Map<String, Object> old;
    private final Map<String, Object> shape;
    private final Map<String, Object> settings = new LinkedHashMap<>();
    private final List<Leftover> left = new ArrayList<>();

    private Migration(Map<String, Object> old, Map<String, Object> shape) {
        this.old = old;
        this.shape = shape;
    }

    /** Translates {@code config}; what {@code shape} names counts in place of the old settings. */
    public static Result translate(Map<String, Object> config, Map<String, Object> shape)
            throws MigrationException {
        Map<String, Object> old = object(config.get("settings"), "settings");
        for (String key : NEEDED) {
            if (shape.get(key) == null) {
                throw new MigrationException("the shape does not say " + key);
            }
        }
        for (String key : shape.keySet()) {
            if (!PLAIN.contains(key) && !OBJECTS.contains(key)) {
                throw new MigrationException("the shape has an unknown key " + key);
            }
        }
        Migration migration = new Migration(old, shape);
        Map<String, Object> result = migration.process(config);
        migration.settings();
        result.put("settings", migration.settings);
        return new Result(result, migration.left);
    }

    private Map<String, Object> process(Map<String, Object> config) {
        Map<String, Object> result = new LinkedHashMap<>();
        config.forEach(
                (key, value) -> {
                    if (PROCESS.contains(key)) {
                        result.put(key, value);
                    } else if ("known".equals(key)) {
                        left.add(
                                new Leftover(
                                        key,
                                        value,
                                        "names the old fleet's servers; the node asks discovery"));
                    } else if (!"settings".equals(key)) {
                        left.add(new Leftover(key, value, "is no key of a node's configuration"));
                    }
                });
        return result;
    }

    private void settings() throws MigrationException {
        for (String key : old.keySet()) {
            if (TENANTS.contains(key)) {
                if (old.get("parties") instanceof List<?> tenants && !tenants.isEmpty()) {
                    left.add(
                            new Leftover(
                                    "settings." + key,
                                    old.get(key),
                                    "nodes tell no tenants apart"));
                }
            } else if (!PLAIN.contains(key) && !OBJECTS.contains(key)) {
                left.add(
                        new Leftover(
                                "settings." + key,
                                old.get(key),
                                "is no setting that a node knows"));
            } else if (!shape.containsKey(key) && !"kinds".equals(key)) {
                settings.put(key, old.get(key));
            }
        }
        for (String key : shape.keySet()) {
            boolean both = OBJECTS.contains(key) && old.get(key) != null;
            settings.put(
                    key,
                    !both
                            ? shape.get(key)
                            : merged(
                                    object(old.get(key), "settings." + key),
                                    object(shape.get(key), key)));
        }
        if (!shape.containsKey("kinds") && old.get("kinds") != null) {
            left.add(
                    new Leftover(
                            "settings.kinds",
                            old.get("kinds"),
                            "names the machines of the old fleet"));
        }
        if (settings.get("me") instanceof Double me
                && settings.get("balancers") instanceof Double nodes
                && me >= nodes) {
            throw new MigrationException(
                    "me is "
                            + me.longValue()
                            + " and the shape has only "
                            + nodes.longValue()
                            + " balancers: the shape has to say me");
        }
        List<?> zones = list(shape.get("zones"), "zones");
        if (!zones.contains(shape.get("zone"))) {
            throw new MigrationException("zone is not one of the shape's zones");
        }
        if (old.get("zones") != null) {
            for (Object zone : list(old.get("zones"), "settings.zones")) {
                if (!zones.contains(zone)) {
                    left.add(
                            new Leftover(
                                    "settings.zones", zone, "has no counterpart in the shape"));
                }
            }
        }
        settings.put("classes", classes(zones.equals(old.get("zones"))));
    }

    // Classes that the shape does not name go on as they are; of those that it names, what it says.
    private List<Object> classes(boolean sameZones) throws MigrationException {
        Map<Object, Map<String, Object>> byName = new LinkedHashMap<>();
        for (Object c : list(old.get("classes"), "settings.classes")) {
            Map<String, Object> type = object(c, "settings.classes");
            byName.put(type.get("name"), type);
        }
        Map<Object, Map<String, Object>> changes = new LinkedHashMap<>();
        if (shape.containsKey("classes")) {
            for (Object c : list(shape.get("classes"), "classes")) {
                Map<String, Object> change = object(c, "classes");
                changes.put(change.get("name"), change);
                byName.merge(change.get("name"), change, Migration::merged);
            }
        }
        List<Object> result = new ArrayList<>();
        for (Map.Entry<Object, Map<String, Object>> e : byName.entrySet()) {
            Map<String, Object> type = e.getValue();
            Map<String, Object> change = changes.getOrDefault(e.getKey(), Map.of());
            // Which servers drop repeats together was told in zones that are no more: none is safe.
            if ("zone".equals(type.get("group")) && !sameZones && !change.containsKey("group")) {
                left.add(
                        new Leftover(
                                "settings.classes." + e.getKey() + ".group",
                                "zone",
                                "the zones are others: never repeated until the shape says the"
                                        + " group and windowMs"));
                type = merged(type, Map.of("windowMs", 0.0));
            }
            result.add(type);
        }
        return result;
    }

    private static Map<String, Object> merged(
            Map<String, Object> before, Map<String, Object> over) {
        Map<String, Object> result = new LinkedHashMap<>(before);
        result.putAll(over);
        return result;
    }

    @SuppressWarnings("unchecked")
    private static Map<String, Object> object(Object value, String key) throws MigrationException {
        if (value instanceof Map<?, ?> map) {
            return (Map<String, Object>) map;
        }
        throw new MigrationException(key + " is no object");
    }

    private static List<?> list(Object value, String key) throws MigrationException {
        if (value instanceof List<?> list) {
            return list;
        }
        throw new MigrationException(key + " is no list");
    }
}
