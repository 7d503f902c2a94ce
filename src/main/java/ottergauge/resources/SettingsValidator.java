// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ottergauge.settings.SettingsReader;

/**
 * Validates a settings object more strictly than a node validates its own configuration file. These
 * settings reach all nodes at once, so a value of the wrong type is an error and is not replaced
 * with a default.
 */
final class SettingsValidator {

    static final int MAX_CLASSES = 1_024;
    static final int MAX_VALUES = 20_000;
    static final int MAX_TEXT_CHARACTERS = 1_024;

    /** The longest time span in settings: one week. */
    static final double MAX_SPAN_MS = 7 * 24 * 3_600_000.0;

    private static final String MILLIS_SUFFIX = "Ms";
    private static final String CLASSES = "classes";

    /** The types of values, as {@link ottergauge.settings.JsonTree} decodes them. */
    private enum ValueType {
        NUMBER("a number", Double.class),
        FLAG("true or false", Boolean.class),
        TEXT("a text", String.class),
        LIST("a list", List.class),
        OBJECT("an object", Map.class);

        private final String description;
        private final Class<?> type;

        ValueType(String description, Class<?> type) {
            this.description = description;
            this.type = type;
        }
    }

    /**
     * The type of a field. {@code section} names the object that contains it; empty for the
     * settings object itself.
     */
    private record TypedKey(String section, String key, ValueType type) {}

    private static final List<TypedKey> KEYS =
            List.of(
                    new TypedKey("", "me", ValueType.NUMBER),
                    new TypedKey("", "balancers", ValueType.NUMBER),
                    new TypedKey("", "zone", ValueType.TEXT),
                    new TypedKey("", "zones", ValueType.LIST),
                    new TypedKey("", "kinds", ValueType.LIST),
                    new TypedKey("", "registryMode", ValueType.TEXT),
                    new TypedKey("", CLASSES, ValueType.LIST),
                    new TypedKey("", "reporting", ValueType.OBJECT),
                    new TypedKey("", "clients", ValueType.OBJECT),
                    new TypedKey("", "specifics", ValueType.OBJECT),
                    new TypedKey("", "ceilings", ValueType.OBJECT),
                    new TypedKey("", "rules", ValueType.OBJECT),
                    new TypedKey("", "penalties", ValueType.OBJECT),
                    new TypedKey("reporting", "how", ValueType.TEXT),
                    new TypedKey("reporting", "fields", ValueType.LIST),
                    new TypedKey("clients", "marksRetry", ValueType.FLAG),
                    new TypedKey("specifics", "warmKeys", ValueType.FLAG),
                    new TypedKey("ceilings", "probes", ValueType.FLAG),
                    new TypedKey("ceilings", "cancel", ValueType.FLAG),
                    new TypedKey("ceilings", "retryAfter", ValueType.FLAG),
                    new TypedKey("ceilings", "maxAttempts", ValueType.NUMBER),
                    new TypedKey("rules", "coldFrom", ValueType.NUMBER),
                    new TypedKey("rules", "tipMultiple", ValueType.NUMBER),
                    new TypedKey("penalties", "probe", ValueType.NUMBER),
                    new TypedKey("penalties", "connection", ValueType.NUMBER));
    private static final List<TypedKey> CLASS_KEYS =
            List.of(
                    new TypedKey("", "semantics", ValueType.TEXT),
                    new TypedKey("", "group", ValueType.TEXT),
                    new TypedKey("", "value", ValueType.NUMBER),
                    new TypedKey("", "lateWorth", ValueType.NUMBER),
                    new TypedKey("", "streamed", ValueType.FLAG));

    private final FieldErrors errors;
    private int valueCount;

    private SettingsValidator(FieldErrors errors) {
        this.errors = errors;
    }

    /** Adds all errors of a settings object, whose field paths begin with {@code path}. */
    static void check(String path, Map<String, Object> tree, FieldErrors errors) {
        SettingsValidator checks = new SettingsValidator(errors);
        checks.checkValues(path, tree);
        checks.checkTypes(path, tree, KEYS);
        checks.checkClasses(path, tree);
        new SettingsReader(tree)
                .firstFault()
                .ifPresent(
                        error ->
                                errors.add(
                                        path + "." + error.key(), error.value(), error.allowed()));
    }

    private void checkValues(String path, Object value) {
        if (++valueCount == MAX_VALUES) {
            errors.add(path, "more", MAX_VALUES + " values at most in all settings");
        }
        if (valueCount >= MAX_VALUES) {
            return;
        }
        if (value instanceof Map<?, ?> map) {
            map.forEach((key, child) -> checkField(path, String.valueOf(key), child));
        } else if (value instanceof List<?> list) {
            for (int i = 0; i < list.size(); i++) {
                checkValues(path + "[" + i + "]", list.get(i));
            }
        } else if (value instanceof String text) {
            ResourceValidator.checkText(path, text, MAX_TEXT_CHARACTERS, errors);
        } else if (value instanceof Double number && !Double.isFinite(number)) {
            errors.add(path, number, "a number that is finite");
        }
    }

    private void checkField(String path, String key, Object value) {
        ResourceValidator.checkText(path, key, MAX_TEXT_CHARACTERS, errors);
        String fieldPath = path + "." + key;
        if (key.endsWith(MILLIS_SUFFIX)
                && value != null
                && !(value instanceof Double span && span >= 0 && span <= MAX_SPAN_MS)) {
            errors.add(
                    fieldPath,
                    NumberText.of(value),
                    "a number from 0 to " + NumberText.of(MAX_SPAN_MS));
        }
        checkValues(fieldPath, value);
    }

    private void checkTypes(String path, Map<?, ?> tree, List<TypedKey> keys) {
        for (TypedKey typed : keys) {
            boolean nested = !typed.section().isEmpty();
            Object fields = nested ? tree.get(typed.section()) : tree;
            Object value = fields instanceof Map<?, ?> map ? map.get(typed.key()) : null;
            if (value != null && !typed.type().type.isInstance(value)) {
                String fieldPath = nested ? path + "." + typed.section() : path;
                errors.add(
                        fieldPath + "." + typed.key(),
                        NumberText.of(value),
                        typed.type().description);
            }
        }
    }

    private void checkClasses(String path, Map<String, Object> tree) {
        List<?> classes = tree.get(CLASSES) instanceof List<?> list ? list : List.of();
        String fieldPath = path + "." + CLASSES;
        if (classes.isEmpty() || classes.size() > MAX_CLASSES) {
            errors.add(fieldPath, classes.size() + " classes", "1 to " + MAX_CLASSES + " classes");
            return;
        }
        Set<Object> names = new HashSet<>();
        for (int i = 0; i < classes.size(); i++) {
            if (classes.get(i) instanceof Map<?, ?> fields) {
                checkTypes(fieldPath + "[" + i + "]", fields, CLASS_KEYS);
                checkClassName(fieldPath + "[" + i + "].name", fields.get("name"), names);
            } else {
                errors.add(fieldPath + "[" + i + "]", classes.get(i), ValueType.OBJECT.description);
            }
        }
    }

    private void checkClassName(String path, Object name, Set<Object> names) {
        if (!(name instanceof String text) || text.isEmpty()) {
            errors.add(path, name == null ? "nothing" : name, "a text of one character at least");
        } else if (!names.add(text)) {
            errors.add(path, text, "a name that no other class has");
        }
    }
}
