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
    static final long MOST_WHOLE = 1L << 53;

    private static final String NOTHING = "nothing";

    private final Map<?, ?> fields;
    private final String path;
    private final FieldErrors faults;

    FieldReader(Map<?, ?> fields, String path, FieldErrors faults) {
        this.fields = fields;
        this.path = path;
        this.faults = faults;
    }

    Map<?, ?> fields() {
        return fields;
    }

    FieldErrors faults() {
        return faults;
    }

    /** Where the object lies in its message; empty for the message itself. */
    String place() {
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
            fault(key, value, "a text");
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
            fault(key, value, "a number");
        }
        return absent;
    }

    long whole(String key, long least, long most) {
        return whole(key, least, most, null);
    }

    long whole(String key, long least, long most, Long absent) {
        Object value = fields.get(key);
        if (value instanceof Double number
                && number == Math.rint(number)
                && number >= least
                && number <= most) {
            return number.longValue();
        }
        if (value != null || absent == null) {
            fault(key, value, "a whole number from " + least + " to " + most);
        }
        return absent == null ? least : absent;
    }

    Map<?, ?> object(String key) {
        Object value = fields.get(key);
        if (value instanceof Map<?, ?> object) {
            return object;
        }
        fault(key, value, "an object");
        return Map.of();
    }

    /** A list that is empty if it is absent. */
    List<?> list(String key) {
        Object value = fields.get(key);
        if (value instanceof List<?> list) {
            return list;
        }
        if (value != null) {
            fault(key, value, "a list");
        }
        return List.of();
    }

    /** An object of a list, with its place in it as path; empty if it is none. */
    Optional<FieldReader> element(String key, int index, Object value) {
        String place = path(key) + "[" + index + "]";
        if (value instanceof Map<?, ?> object) {
            return Optional.of(new FieldReader(object, place, faults));
        }
        faults.add(place, described(value), "an object");
        return Optional.empty();
    }

    /** The object of a key, with the key as path. */
    FieldReader child(String key) {
        return new FieldReader(object(key), path(key), faults);
    }

    void fault(String key, Object value, String allowed) {
        faults.add(path(key), described(value), allowed);
    }

    private static Object described(Object value) {
        if (value instanceof Map<?, ?>) {
            return "an object";
        }
        return value instanceof List<?> ? "a list" : value == null ? NOTHING : NumberText.of(value);
    }
}
