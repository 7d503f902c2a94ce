// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Pattern;
import ottergauge.settings.SettingsFault;

/**
 * The {@code control} section of a node's configuration: the control processes that the node
 * follows, its subscription and its limits. The configuration of a control process itself is
 * another type.
 *
 * @param endpoints the control processes
 * @param region the region that the node runs in; empty for none
 * @param services the services that the node subscribes to; empty for all
 * @param settingsName name of the settings that the node applies
 * @param propagationDeadlineMicros the time within which a change must reach the node
 * @param bytesPerSecond limit of the rate at which the state is read
 * @param stateDirectory the directory that stores the last state, if there is one
 * @param maxResources limit of the number of resources in the state
 * @param maxBytes limit of the state's size
 */
public record ControlPlaneConfig(
        List<Endpoint> endpoints,
        String region,
        Set<String> services,
        String settingsName,
        long propagationDeadlineMicros,
        long bytesPerSecond,
        Optional<String> stateDirectory,
        int maxResources,
        long maxBytes) {

    /** Where a control process is reached, and the region that it runs in. */
    public record Endpoint(Address address, String region) {}

    private static final int MAX_ENDPOINTS = 16;

    /**
     * Limit of the total length of all services' names, which are sent in the head of each request.
     */
    private static final int MAX_SERVICES_CHARACTERS = 2_000;

    private static final long MIN_PROPAGATION_MS = 500;
    private static final long MAX_PROPAGATION_MS = 60_000;
    private static final long DEFAULT_PROPAGATION_MS = 4_000;
    private static final long MIN_BYTES_PER_SECOND = 1_024;
    private static final long MAX_BYTES_PER_SECOND = 1L << 30;
    private static final long DEFAULT_BYTES_PER_SECOND = 8_192;
    private static final int MAX_RESOURCES = 10_000_000;
    private static final int DEFAULT_RESOURCES = 200_000;
    private static final int MAX_STATE_MB = 16_384;
    private static final int DEFAULT_STATE_MB = 64;
    private static final long BYTES_PER_MB = 1L << 20;
    private static final int MICROS_PER_MS = 1_000;
    private static final String NAME_FORM = "1 to 128 characters of A-Z a-z 0-9 . _ : / -";
    private static final Pattern NAME = Pattern.compile("[A-Za-z0-9._:/-]{1,128}");

    /**
     * Reads the section.
     *
     * @throws ProtocolException if it is invalid; the message names the key, its value and the
     *     allowed form
     */
    static ControlPlaneConfig of(Object section) throws ProtocolException {
        if (!(section instanceof Map<?, ?> fields)) {
            throw fault("control", section, "an object");
        }
        return new ControlPlaneConfig(
                endpoints(fields),
                text(fields, "region", ""),
                services(fields),
                text(fields, "settings", "default"),
                MICROS_PER_MS
                        * integer(
                                fields,
                                "within_ms",
                                MIN_PROPAGATION_MS,
                                MAX_PROPAGATION_MS,
                                DEFAULT_PROPAGATION_MS),
                integer(
                        fields,
                        "bytes_per_second",
                        MIN_BYTES_PER_SECOND,
                        MAX_BYTES_PER_SECOND,
                        DEFAULT_BYTES_PER_SECOND),
                folder(fields),
                (int) integer(fields, "most_resources", 1, MAX_RESOURCES, DEFAULT_RESOURCES),
                BYTES_PER_MB * integer(fields, "most_mb", 1, MAX_STATE_MB, DEFAULT_STATE_MB));
    }

    private static List<Endpoint> endpoints(Map<?, ?> fields) throws ProtocolException {
        Object addresses = fields.get("addresses");
        if (!(addresses instanceof List<?> list) || list.isEmpty() || list.size() > MAX_ENDPOINTS) {
            throw fault(
                    "control.addresses", addresses, "a list of 1 to " + MAX_ENDPOINTS + " objects");
        }
        List<Endpoint> endpoints = new ArrayList<>();
        Set<Address> seen = new HashSet<>();
        for (int i = 0; i < list.size(); i++) {
            Endpoint endpoint = endpoint("addresses[" + i + "]", list.get(i));
            if (!seen.add(endpoint.address())) {
                throw fault(
                        "control.addresses[" + i + "].address",
                        endpoint.address(),
                        "an address that is not there twice");
            }
            endpoints.add(endpoint);
        }
        return List.copyOf(endpoints);
    }

    private static Endpoint endpoint(String key, Object entry) throws ProtocolException {
        if (!(entry instanceof Map<?, ?> fields)) {
            throw fault("control." + key, entry, "an object");
        }
        return new Endpoint(
                address(key + ".address", fields.get("address")),
                text(fields, key + ".region", "region", ""));
    }

    private static Address address(String key, Object value) throws ProtocolException {
        try {
            return Address.parse(value instanceof String text ? text : null);
        } catch (ProtocolException e) {
            throw fault("control." + key, value, "a numeric address and a port");
        }
    }

    private static Set<String> services(Map<?, ?> fields) throws ProtocolException {
        Object services = fields.get("services");
        if (services == null) {
            return Set.of();
        }
        if (!(services instanceof List<?> list)) {
            throw fault("control.services", services, "a list of names");
        }
        Set<String> names = new TreeSet<>();
        int characters = 0;
        for (int i = 0; i < list.size(); i++) {
            names.add(name("control.services[" + i + "]", list.get(i)));
            characters += String.valueOf(list.get(i)).length() + 1;
        }
        if (characters > MAX_SERVICES_CHARACTERS) {
            throw fault(
                    "control.services",
                    characters + " characters",
                    "up to "
                            + MAX_SERVICES_CHARACTERS
                            + " characters of names, or none for all services");
        }
        return Collections.unmodifiableSet(names);
    }

    private static Optional<String> folder(Map<?, ?> fields) throws ProtocolException {
        Object folder = fields.get("folder");
        if (folder == null) {
            return Optional.empty();
        }
        if (!(folder instanceof String text) || text.isEmpty() || text.indexOf('\0') >= 0) {
            throw fault("control.folder", folder, "the path of a folder");
        }
        return Optional.of(text);
    }

    private static String text(Map<?, ?> fields, String key, String defaultValue)
            throws ProtocolException {
        return text(fields, key, key, defaultValue);
    }

    private static String text(Map<?, ?> fields, String path, String key, String defaultValue)
            throws ProtocolException {
        return fields.get(key) == null ? defaultValue : name("control." + path, fields.get(key));
    }

    private static String name(String key, Object value) throws ProtocolException {
        if (!(value instanceof String text) || !NAME.matcher(text).matches()) {
            throw fault(key, value, NAME_FORM);
        }
        return text;
    }

    private static long integer(Map<?, ?> fields, String key, long min, long max, long defaultValue)
            throws ProtocolException {
        Object value = fields.get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!(value instanceof Double number)
                || number != Math.rint(number)
                || number < min
                || number > max) {
            throw fault("control." + key, value, "a whole number from " + min + " to " + max);
        }
        return number.longValue();
    }

    private static ProtocolException fault(String key, Object value, String allowed) {
        return new ProtocolException(
                new SettingsFault(key, String.valueOf(value), allowed).toString());
    }
}
