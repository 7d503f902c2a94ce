// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.settings.JsonTree;
import ottergauge.settings.SettingsReader;

/**
 * What a node is told at its start. Spans are microseconds; {@code sockets} bounds its descriptors;
 * {@code management} is the operators' address, null without one; without {@code control} the list
 * of servers comes from discovery and the settings from here.
 */
public record NodeConfig(
        String name,
        Address listen,
        Address discovery,
        long seed,
        int sockets,
        EndpointList known,
        DecisionSettings settings,
        List<String> zones,
        List<String> kinds,
        long connectTimeout,
        long connectionIdle,
        long askWithin,
        Address management,
        int memoryMb,
        Optional<ControlConfig> control) {

    private static final int HEXADECIMAL = 16;
    // A list may have a sixteenth of the memory while it is read: its servers take some three times
    // as much.
    private static final int LIST_PART = 16;
    private static final int BYTES_A_MB = 1 << 20;
    // The list as the node had it last: as large as the fleet, it is read entry by entry.
    private static final String KNOWN = "known";
    private static final JsonFactory JSON = new JsonFactory();

    /** Reads the configuration file's content. */
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
        if (!(tree.get("settings") instanceof Map<?, ?> map)) {
            throw new ProtocolException("the configuration has no settings");
        }
        NodeSettings settings = NodeSettings.of((Map<String, Object>) map);
        SettingsReader root = new SettingsReader(tree);
        return new NodeConfig(
                root.text("name", "node"),
                Address.parse(root.text("listen", null)),
                Address.parse(root.text("discovery", null)),
                seed(root.text("seed", "0")),
                (int) root.child("limits").number("sockets", 1024),
                known,
                settings.decisions(),
                settings.zones(),
                settings.kinds(),
                settings.connectTimeout(),
                settings.connectionIdle(),
                settings.askWithin(),
                tree.get("management") == null
                        ? null
                        : Address.parse(root.text("management", null)),
                (int) root.child("limits").number("memory_mb", 128),
                tree.get("control") == null
                        ? Optional.empty()
                        : Optional.of(ControlConfig.of(tree.get("control"))));
    }

    /** What of it may be replaced while the node runs. */
    public NodeSettings nodeSettings() {
        return new NodeSettings(settings, zones, kinds, connectTimeout, connectionIdle, askWithin);
    }

    /**
     * The largest list of servers, in bytes, that the node reads: it follows from the memory limit.
     */
    public int mostListBytes() {
        return (int)
                Math.min(Integer.MAX_VALUE / 2, Math.max(1L, memoryMb / LIST_PART) * BYTES_A_MB);
    }

    /** The same with an operators' address, if it has none yet and there is one. */
    public NodeConfig managedAt(String address) throws ProtocolException {
        return management != null || address == null || address.isEmpty()
                ? this
                : new NodeConfig(
                        name,
                        listen,
                        discovery,
                        seed,
                        sockets,
                        known,
                        settings,
                        zones,
                        kinds,
                        connectTimeout,
                        connectionIdle,
                        askWithin,
                        Address.parse(address),
                        memoryMb,
                        control);
    }

    /** The same with a list that is newer. */
    public NodeConfig knowing(EndpointList list) {
        return new NodeConfig(
                name,
                listen,
                discovery,
                seed,
                sockets,
                list,
                settings,
                zones,
                kinds,
                connectTimeout,
                connectionIdle,
                askWithin,
                management,
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
