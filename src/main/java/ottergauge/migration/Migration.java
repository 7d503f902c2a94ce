// SPDX-License-Identifier: Apache-2.0
package ottergauge.migration;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * Translates a node's configuration for one deployment into a configuration for another deployment.
 * An operator describes the new deployment in a shape, whose settings replace the old ones.
 */
public final class Migration {

    /** An entry of the old configuration that the new one lacks, and the reason. */
    public record Leftover(String key, Object old, String reason) {}

    /** The new configuration, and the entries of the old one that are not in it. */
    public record Result(Map<String, Object> config, List<Leftover> leftovers) {}

    private static final List<String> TOP_LEVEL_KEYS =
            List.of("name", "listen", "discovery", "seed", "limits");
    private static final List<String> REQUIRED_SHAPE_KEYS =
            List.of("balancers", "zones", "zone", "registryMode", "reporting");
    private static final Set<String> OBJECT_KEYS =
            Set.of("ceilings", "rules", "penalties", "clients", "blend", "specifics");
    private static final Set<String> PLAIN_KEYS =
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

    // Nodes no longer distinguish tenants. A file that names no tenants loses nothing.
    private static final Set<String> TENANT_KEYS = Set.of("parties", "overShareWorth");

    private final Map<String, Object> old;
    private final Map<String, Object> shape;
    private final Map<String, Object> settings = new LinkedHashMap<>();
    private final List<Leftover> leftovers = new ArrayList<>();

    private Migration(Map<String, Object> old, Map<String, Object> shape) {
        this.old = old;
        this.shape = shape;
    }

    /** Translates {@code config}; the settings in {@code shape} replace the old ones. */
    public static Result translate(Map<String, Object> config, Map<String, Object> shape)
            throws MigrationException {
        Map<String, Object> old = object(config.get("settings"), "settings");
        for (String key : REQUIRED_SHAPE_KEYS) {
            if (shape.get(key) == null) {
                throw new MigrationException("the shape does not say " + key);
            }
        }
        for (String key : shape.keySet()) {
            if (!PLAIN_KEYS.contains(key) && !OBJECT_KEYS.contains(key)) {
                throw new MigrationException("the shape has an unknown key " + key);
            }
        }
        Migration migration = new Migration(old, shape);
        Map<String, Object> result = migration.translateTopLevel(config);
        migration.settings();
        result.put("settings", migration.settings);
        return new Result(result, migration.leftovers);
    }

    private Map<String, Object> translateTopLevel(Map<String, Object> config) {
        Map<String, Object> result = new LinkedHashMap<>();
        config.forEach(
                (key, value) -> {
                    if (TOP_LEVEL_KEYS.contains(key)) {
                        result.put(key, value);
                    } else if ("known".equals(key)) {
                        leftovers.add(
                                new Leftover(
                                        key,
                                        value,
                                        "names the old fleet's servers; the node asks discovery"));
                    } else if (!"settings".equals(key)) {
                        leftovers.add(
                                new Leftover(key, value, "is no key of a node's configuration"));
                    }
                });
        return result;
    }

    private void settings() throws MigrationException {
        for (String key : old.keySet()) {
            if (TENANT_KEYS.contains(key)) {
                if (old.get("parties") instanceof List<?> tenants && !tenants.isEmpty()) {
                    leftovers.add(
                            new Leftover(
                                    "settings." + key,
                                    old.get(key),
                                    "nodes tell no tenants apart"));
                }
            } else if (!PLAIN_KEYS.contains(key) && !OBJECT_KEYS.contains(key)) {
                leftovers.add(
                        new Leftover(
                                "settings." + key,
                                old.get(key),
                                "is no setting that a node knows"));
            } else if (!shape.containsKey(key) && !"kinds".equals(key)) {
                settings.put(key, old.get(key));
            }
        }
        for (String key : shape.keySet()) {
            boolean both = OBJECT_KEYS.contains(key) && old.get(key) != null;
            settings.put(
                    key,
                    !both
                            ? shape.get(key)
                            : merged(
                                    object(old.get(key), "settings." + key),
                                    object(shape.get(key), key)));
        }
        if (!shape.containsKey("kinds") && old.get("kinds") != null) {
            leftovers.add(
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
                    leftovers.add(
                            new Leftover(
                                    "settings.zones", zone, "has no counterpart in the shape"));
                }
            }
        }
        settings.put("classes", classes(zones.equals(old.get("zones"))));
    }

    // Classes that the shape does not name stay as they are. For the others, the values in the
    // shape override the old values.
    private List<Object> classes(boolean sameZones) throws MigrationException {
        Map<Object, Map<String, Object>> byName = new LinkedHashMap<>();
        for (Object c : list(old.get("classes"), "settings.classes")) {
            Map<String, Object> requestClass = object(c, "settings.classes");
            byName.put(requestClass.get("name"), requestClass);
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
            Map<String, Object> requestClass = e.getValue();
            Map<String, Object> change = changes.getOrDefault(e.getKey(), Map.of());
            // The group "zone" means that the servers of one zone detect repeated requests
            // together. If the zones differ from the old ones, no repetition is safe, and the class
            // gets a window of 0.
            if ("zone".equals(requestClass.get("group"))
                    && !sameZones
                    && !change.containsKey("group")) {
                leftovers.add(
                        new Leftover(
                                "settings.classes." + e.getKey() + ".group",
                                "zone",
                                "the zones are others: never repeated until the shape says the"
                                        + " group and windowMs"));
                requestClass = merged(requestClass, Map.of("windowMs", 0.0));
            }
            result.add(requestClass);
        }
        return result;
    }

    private static Map<String, Object> merged(
            Map<String, Object> before, Map<String, Object> overrides) {
        Map<String, Object> result = new LinkedHashMap<>(before);
        result.putAll(overrides);
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
