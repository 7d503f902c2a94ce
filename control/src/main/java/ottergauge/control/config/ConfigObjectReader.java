// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.config;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ottergauge.protocol.Address;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.FieldError;
import ottergauge.resources.ResourceValidator;

/**
 * Reads the keys of one object of a configuration; reports what is wrong, and keys that none asked
 * for.
 */
final class ConfigObjectReader {

    private final Map<?, ?> fields;
    private final String path;
    private final List<FieldError> errors;
    private final Set<String> known = new HashSet<>();

    ConfigObjectReader(Map<?, ?> fields, String path, List<FieldError> errors) {
        this.fields = fields;
        this.path = path;
        this.errors = errors;
    }

    boolean has(String key) {
        return value(key) != null;
    }

    String name(String key) {
        if (value(key) instanceof String text && ResourceValidator.isValidName(text)) {
            return text;
        }
        error(key, ResourceValidator.NAME_FORMAT);
        return "";
    }

    /** A text that may be absent, which is null then. */
    String text(String key) {
        Object value = value(key);
        if (value == null || (value instanceof String text && !text.isEmpty())) {
            return (String) value;
        }
        error(key, "a text of one character at least");
        return null;
    }

    /** An address; null if there is none, which is reported. */
    Address address(String key) {
        if (value(key) instanceof String text) {
            try {
                return Address.parse(text);
            } catch (ProtocolException e) {
                // Reported below.
            }
        }
        error(key, "a numeric host, : and a port from 1 to 65535");
        return null;
    }

    long whole(String key, long least, long most, long absent) {
        Object value = value(key);
        if (value == null) {
            return absent;
        }
        boolean whole = value instanceof Double number && number == Math.rint(number);
        if (whole && (Double) value >= least && (Double) value <= most) {
            return ((Double) value).longValue();
        }
        error(key, "a whole number from " + least + " to " + most);
        return absent;
    }

    boolean flag(String key, boolean absent) {
        Object value = value(key);
        if (value == null || value instanceof Boolean) {
            return value == null ? absent : (Boolean) value;
        }
        error(key, "true or false");
        return absent;
    }

    /** The objects of a list; what is none is reported and left out. */
    List<ConfigObjectReader> objects(String key, int most) {
        Object value = value(key);
        if (!(value instanceof List<?> list)
                || list.isEmpty()
                || list.size() > most
                || !list.stream().allMatch(Map.class::isInstance)) {
            error(key, "a list of 1 to " + most + " objects");
            return List.of();
        }
        List<ConfigObjectReader> objects = new ArrayList<>();
        for (int i = 0; i < list.size(); i++) {
            objects.add(
                    new ConfigObjectReader(
                            (Map<?, ?>) list.get(i), path + key + "[" + i + "].", errors));
        }
        return objects;
    }

    ConfigObjectReader object(String key) {
        if (value(key) instanceof Map<?, ?> object) {
            return new ConfigObjectReader(object, path + key + ".", errors);
        }
        error(key, "an object");
        return new ConfigObjectReader(Map.of(), path + key + ".", errors);
    }

    /** Reports all keys that were not asked for. */
    void rejectUnknownKeys() {
        for (Object key : fields.keySet()) {
            if (!known.contains(key)) {
                errors.add(
                        new FieldError(
                                path + key,
                                String.valueOf(fields.get(key)),
                                "no key of this object"));
            }
        }
    }

    void error(String key, String allowed) {
        Object value = fields.get(key);
        String found =
                value == null
                        ? "nothing"
                        : value instanceof Map
                                ? "an object"
                                : value instanceof List ? "a list" : String.valueOf(value);
        errors.add(new FieldError(path + key, found, allowed));
    }

    private Object value(String key) {
        known.add(key);
        return fields.get(key);
    }
}
