// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads typed fields of one JSON object that {@link ottergauge.settings.JsonTree} decoded. A
 * missing field or one of the wrong type adds an error and returns a placeholder, so that all
 * errors of a message are found. A null counts as missing.
 */
final class FieldReader {

    /** The largest integer up to which a JSON number (a double) is exact. */
    static final long MAX_SAFE_INTEGER = 1L << 53;

    private static final String NOTHING = "nothing";

    private final Map<?, ?> fields;
    private final String path;
    private final FieldErrors errors;

    FieldReader(Map<?, ?> fields, String path, FieldErrors errors) {
        this.fields = fields;
        this.path = path;
        this.errors = errors;
    }

    Map<?, ?> fields() {
        return fields;
    }

    FieldErrors errors() {
        return errors;
    }

    /** The path of this object in its message; empty for the top-level object. */
    String path() {
        return path;
    }

    /** The path of a field of this object. */
    String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    /** A required text. */
    String text(String key) {
        return text(key, null);
    }

    /** A text with a default; a null default makes it required. */
    String text(String key, String defaultValue) {
        Object value = fields.get(key);
        if (value instanceof String text) {
            return text;
        }
        if (value != null || defaultValue == null) {
            error(key, value, "a text");
        }
        return defaultValue == null ? "" : defaultValue;
    }

    /** An optional text; null if it is missing. */
    String textOrNull(String key) {
        return fields.get(key) == null ? null : text(key);
    }

    /** A number with a default. */
    double number(String key, double defaultValue) {
        Object value = fields.get(key);
        if (value instanceof Double number) {
            return number;
        }
        if (value != null) {
            error(key, value, "a number");
        }
        return defaultValue;
    }

    /** A required integer within bounds. */
    long integer(String key, long min, long max) {
        return integer(key, min, max, null);
    }

    /** An integer within bounds, with a default; a null default makes it required. */
    long integer(String key, long min, long max, Long defaultValue) {
        Object value = fields.get(key);
        if (value instanceof Double number
                && number == Math.rint(number)
                && number >= min
                && number <= max) {
            return number.longValue();
        }
        if (value != null || defaultValue == null) {
            error(key, value, "a whole number from " + min + " to " + max);
        }
        return defaultValue == null ? min : defaultValue;
    }

    /** A required object. */
    Map<?, ?> object(String key) {
        Object value = fields.get(key);
        if (value instanceof Map<?, ?> object) {
            return object;
        }
        error(key, value, "an object");
        return Map.of();
    }

    /** An optional list; empty if it is missing. */
    List<?> list(String key) {
        Object value = fields.get(key);
        if (value instanceof List<?> list) {
            return list;
        }
        if (value != null) {
            error(key, value, "a list");
        }
        return List.of();
    }

    /**
     * Reads an element of a list. If the element is not an object, adds an error and returns empty.
     */
    Optional<FieldReader> element(String key, int index, Object value) {
        String elementPath = path(key) + "[" + index + "]";
        if (value instanceof Map<?, ?> object) {
            return Optional.of(new FieldReader(object, elementPath, errors));
        }
        errors.add(elementPath, describe(value), "an object");
        return Optional.empty();
    }

    /** Reads the required object of a field. */
    FieldReader child(String key) {
        return new FieldReader(object(key), path(key), errors);
    }

    /** Adds an error for a field of this object. */
    void error(String key, Object value, String allowed) {
        errors.add(path(key), describe(value), allowed);
    }

    private static Object describe(Object value) {
        if (value instanceof Map<?, ?>) {
            return "an object";
        }
        return value instanceof List<?> ? "a list" : value == null ? NOTHING : NumberText.of(value);
    }
}
