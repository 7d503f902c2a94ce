// SPDX-License-Identifier: Apache-2.0
package ottergauge.settings;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Typed access to an object that {@link JsonTree} has read. If a field is absent or of another
 * type, the caller's default value is returned.
 */
public final class JsonObject {

    private static final int MICROS_PER_MS = 1000;

    private final Map<String, Object> fields;

    /** Wraps an object's fields. */
    public JsonObject(Map<String, Object> fields) {
        this.fields = fields;
    }

    /** The object in a field; an empty object if there is none. */
    @SuppressWarnings("unchecked")
    public JsonObject child(String key) {
        return new JsonObject(
                fields.get(key) instanceof Map<?, ?> map ? (Map<String, Object>) map : Map.of());
    }

    /** The objects in a field's list; entries of other types are omitted. */
    @SuppressWarnings("unchecked")
    public List<JsonObject> children(String key) {
        List<JsonObject> children = new ArrayList<>();
        for (Object child : list(key)) {
            if (child instanceof Map<?, ?> map) {
                children.add(new JsonObject((Map<String, Object>) map));
            }
        }
        return children;
    }

    /** The list in a field; empty if there is none. */
    public List<?> list(String key) {
        return fields.get(key) instanceof List<?> list ? list : List.of();
    }

    /** The list in a field, with its entries as strings; empty if there is none. */
    public List<String> names(String key) {
        List<String> names = new ArrayList<>();
        for (Object name : list(key)) {
            names.add(String.valueOf(name));
        }
        return names;
    }

    /** The number in a field. */
    public double number(String key, double defaultValue) {
        return fields.get(key) instanceof Double number ? number : defaultValue;
    }

    /** The duration of a field in milliseconds, rounded to microseconds. */
    public long micros(String key, double defaultMs) {
        return Math.round(number(key, defaultMs) * MICROS_PER_MS);
    }

    /** Whether a field is true. */
    public boolean flag(String key) {
        return Boolean.TRUE.equals(fields.get(key));
    }

    /** The string in a field. */
    public String text(String key, String defaultValue) {
        return fields.get(key) instanceof String text ? text : defaultValue;
    }

    /** The value in a field, or null. */
    Object value(String key) {
        return fields.get(key);
    }
}
