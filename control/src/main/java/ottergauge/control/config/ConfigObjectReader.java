// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.config;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ottergauge.protocol.Address;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.FieldError;
import ottergauge.resources.ResourceValidator;

/** Reads the keys of a configuration object and collects all errors, unknown keys included. */
final class ConfigObjectReader {

    private final Map<?, ?> fields;
    private final String path;
    private final List<FieldError> errors;
    private final Set<String> knownKeys = new HashSet<>();

    ConfigObjectReader(Map<?, ?> fields, String path, List<FieldError> errors) {
        this.fields = fields;
        this.path = path;
        this.errors = errors;
    }

    String name(String key) {
        if (value(key) instanceof String text && ResourceValidator.isValidName(text)) {
            return text;
        }
        addError(key, ResourceValidator.NAME_FORMAT);
        return "";
    }

    /** Reads an address. If it is missing or invalid, adds an error and returns null. */
    Address address(String key) {
        if (value(key) instanceof String text) {
            try {
                return Address.parse(text);
            } catch (ProtocolException e) {
                // The error is reported below.
            }
        }
        addError(key, "a numeric host, : and a port from 1 to 65535");
        return null;
    }

    long integer(String key, long min, long max, long defaultValue) {
        Object value = value(key);
        if (value == null) {
            return defaultValue;
        }
        boolean integer = value instanceof Double number && number == Math.rint(number);
        if (integer && (Double) value >= min && (Double) value <= max) {
            return ((Double) value).longValue();
        }
        addError(key, "a whole number from " + min + " to " + max);
        return defaultValue;
    }

    /** Adds an error for each key that was not read. */
    void rejectUnknownKeys() {
        for (Object key : fields.keySet()) {
            if (!knownKeys.contains(key)) {
                errors.add(
                        new FieldError(
                                path + key,
                                String.valueOf(fields.get(key)),
                                "no key of this object"));
            }
        }
    }

    void addError(String key, String allowed) {
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
        knownKeys.add(key);
        return fields.get(key);
    }
}
