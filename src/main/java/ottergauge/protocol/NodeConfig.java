// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import ottergauge.settings.JsonObject;
import ottergauge.settings.JsonTree;

/**
 * A node's configuration.
 *
 * @param name the node's name in logs
 * @param listen the address that clients connect to
 * @param discovery the address at which discovery is polled
 * @param seed seeds the node's random choices
 * @param maxDescriptors limit of the process's file descriptors
 * @param knownEndpoints the endpoints last known to the node or its platform
 * @param settings settings that may be replaced while the node runs
 * @param admin the address of the admin listener, if there is one
 * @param memoryMb the process's memory limit in megabytes
 * @param control the control processes; without them endpoints come from discovery and settings
 *     from this configuration
 */
public record NodeConfig(
        String name,
        Address listen,
        Address discovery,
        long seed,
        int maxDescriptors,
        EndpointList knownEndpoints,
        NodeSettings settings,
        Optional<Address> admin,
        int memoryMb,
        Optional<ControlPlaneConfig> control) {

    private static final int HEXADECIMAL = 16;
    // The JSON of an endpoint list may take up to the memory limit divided by this ratio. The
    // objects of the parsed list take about three times the size of the JSON.
    private static final int MEMORY_TO_LIST_RATIO = 16;
    private static final int BYTES_PER_MB = 1 << 20;
    private static final int DEFAULT_DESCRIPTORS = 1024;
    private static final int DEFAULT_MEMORY_MB = 128;
    private static final JsonFactory JSON = new JsonFactory();

    // Keys of the configuration file.
    private static final String NAME = "name";
    private static final String LISTEN = "listen";
    private static final String DISCOVERY = "discovery";
    private static final String SEED = "seed";
    private static final String LIMITS = "limits";
    private static final String SOCKETS = "sockets";
    private static final String MEMORY_MB = "memory_mb";
    private static final String KNOWN = "known";
    private static final String SETTINGS = "settings";
    private static final String MANAGEMENT = "management";
    private static final String CONTROL = "control";

    /**
     * Reads the content of a configuration file.
     *
     * @throws ProtocolException if it is malformed; the message names the key or the value
     */
    public static NodeConfig read(byte[] content) throws ProtocolException {
        Map<String, Object> tree = new LinkedHashMap<>();
        EndpointList known = EndpointList.EMPTY;
        try (JsonParser in = JSON.createParser(content)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new ProtocolException("the configuration is no JSON object");
            }
            while (in.nextToken() != JsonToken.END_OBJECT) {
                String key = in.currentName();
                boolean list = in.nextToken() == JsonToken.START_OBJECT && KNOWN.equals(key);
                if (list) {
                    known = EndpointListReader.read(in);
                } else {
                    tree.put(key, JsonTree.value(in));
                }
            }
            if (in.nextToken() != null) {
                throw new ProtocolException("the configuration has something behind its object");
            }
        } catch (IOException e) {
            throw new ProtocolException("the configuration: " + e.getMessage());
        }
        return of(tree, known);
    }

    @SuppressWarnings("unchecked")
    private static NodeConfig of(Map<String, Object> tree, EndpointList known)
            throws ProtocolException {
        if (!(tree.get(SETTINGS) instanceof Map<?, ?> map)) {
            throw new ProtocolException("the configuration has no settings");
        }
        NodeSettings settings = NodeSettings.of((Map<String, Object>) map);
        JsonObject root = new JsonObject(tree);
        JsonObject limits = root.child(LIMITS);
        return new NodeConfig(
                root.text(NAME, "node"),
                Address.parse(root.text(LISTEN, null)),
                Address.parse(root.text(DISCOVERY, null)),
                seed(root.text(SEED, "0")),
                (int) limits.number(SOCKETS, DEFAULT_DESCRIPTORS),
                known,
                settings,
                tree.get(MANAGEMENT) == null
                        ? Optional.empty()
                        : Optional.of(Address.parse(root.text(MANAGEMENT, null))),
                (int) limits.number(MEMORY_MB, DEFAULT_MEMORY_MB),
                tree.get(CONTROL) == null
                        ? Optional.empty()
                        : Optional.of(ControlPlaneConfig.of(tree.get(CONTROL))));
    }

    /** The size in bytes of the largest endpoint list that the node reads. */
    public int maxListBytes() {
        return (int)
                Math.min(
                        Integer.MAX_VALUE / 2,
                        Math.max(1L, memoryMb / MEMORY_TO_LIST_RATIO) * BYTES_PER_MB);
    }

    /**
     * Returns this configuration with an admin address, if it has none yet and one is given.
     *
     * @param address may be null or empty
     * @throws ProtocolException if the address is malformed
     */
    public NodeConfig withAdmin(String address) throws ProtocolException {
        return admin.isPresent() || address == null || address.isEmpty()
                ? this
                : new NodeConfig(
                        name,
                        listen,
                        discovery,
                        seed,
                        maxDescriptors,
                        knownEndpoints,
                        settings,
                        Optional.of(Address.parse(address)),
                        memoryMb,
                        control);
    }

    /** Returns this configuration with other known endpoints. */
    public NodeConfig withKnownEndpoints(EndpointList list) {
        return new NodeConfig(
                name,
                listen,
                discovery,
                seed,
                maxDescriptors,
                list,
                settings,
                admin,
                memoryMb,
                control);
    }

    private static long seed(String hex) throws ProtocolException {
        try {
            return Long.parseUnsignedLong(hex, HEXADECIMAL);
        } catch (NumberFormatException e) {
            throw new ProtocolException("seed is up to 16 hex digits");
        }
    }
}
