// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Reads the fields of one JSON object, as {@link ottergauge.settings.JsonTree} has them, by type.
 * What has the wrong type or is missing is reported, and a placeholder is given back; null counts
 * as absent.
 */
final class FieldReader {

    /** The largest whole number that a JSON number tells exactly. */
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

    /** Where the object lies in its message; empty for the message itself. */
    String path() {
        return path;
    }

    String path(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    String text(String key) {
        return text(key, null);
    }

    String text(String key, String absent) {
        Object value = fields.get(key);
        if (value instanceof String text) {
            return text;
        }
        if (value != null || absent == null) {
            error(key, value, "a text");
        }
        return absent == null ? "" : absent;
    }

    /** A text that may be absent, which is null then. */
    String textOrNull(String key) {
        return fields.get(key) == null ? null : text(key);
    }

    double number(String key, double absent) {
        Object value = fields.get(key);
        if (value instanceof Double number) {
            return number;
        }
        if (value != null) {
            error(key, value, "a number");
        }
        return absent;
    }

    long integer(String key, long min, long max) {
        return integer(key, min, max, null);
    }

    long integer(String key, long min, long max, Long absent) {
        Object value = fields.get(key);
        if (value instanceof Double number
                && number == Math.rint(number)
                && number >= min
                && number <= max) {
            return number.longValue();
        }
        if (value != null || absent == null) {
            error(key, value, "a whole number from " + min + " to " + max);
        }
        return absent == null ? min : absent;
    }

    Map<?, ?> object(String key) {
        Object value = fields.get(key);
        if (value instanceof Map<?, ?> object) {
            return object;
        }
        error(key, value, "an object");
        return Map.of();
    }

    /** A list that is empty if it is absent. */
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

    /** An object of a list, with its place in it as path; empty if it is none. */
    Optional<FieldReader> element(String key, int index, Object value) {
        String place = path(key) + "[" + index + "]";
        if (value instanceof Map<?, ?> object) {
            return Optional.of(new FieldReader(object, place, errors));
        }
        errors.add(place, described(value), "an object");
        return Optional.empty();
    }

    /** The object of a key, with the key as path. */
    FieldReader child(String key) {
        return new FieldReader(object(key), path(key), errors);
    }

    void error(String key, Object value, String allowed) {
        errors.add(path(key), described(value), allowed);
    }

    private static Object described(Object value) {
        if (value instanceof Map<?, ?>) {
            return "an object";
        }
        return value instanceof List<?> ? "a list" : value == null ? NOTHING : NumberText.of(value);
    }
}
