// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.api.DiscoveryMode;
import ottergauge.decision.api.RequestClass;
import ottergauge.settings.SettingsFault;
import ottergauge.settings.SettingsReader;

/**
 * A deployment's settings as a node applies them. All of them may be replaced while the node runs.
 * Durations are in microseconds.
 *
 * @param decisions the settings of the decision module
 * @param zones names of the zones; a zone's number is its index
 * @param kinds names of the machine types; a kind's number is its index
 * @param connectTimeout how long a connection to a server may take to be established
 * @param serverIdleTimeout how long servers keep an idle connection open
 * @param maxPollInterval the longest time between two polls of discovery
 */
public record NodeSettings(
        DecisionSettings decisions,
        List<String> zones,
        List<String> kinds,
        long connectTimeout,
        long serverIdleTimeout,
        long maxPollInterval) {

    /** The maximum number of request classes that settings may define. */
    public static final int MAX_CLASSES = 1_024;

    /**
     * Reads a settings object.
     *
     * @throws ProtocolException if a setting is invalid; the message names it and its value
     */
    public static NodeSettings of(Map<String, Object> settings) throws ProtocolException {
        SettingsReader reader = new SettingsReader(settings);
        Optional<SettingsFault> fault = reader.firstFault();
        if (fault.isPresent()) {
            throw new ProtocolException("settings: " + fault.get());
        }
        // Discovery over HTTP never pushes updates, whatever mode the settings name.
        DecisionSettings decisions = reader.decisionSettings(DiscoveryMode.POLL);
        checkClasses(decisions.requestClasses());
        return new NodeSettings(
                decisions,
                reader.zoneNames(),
                reader.kindNames(),
                reader.connectTimeoutMicros(),
                reader.serverIdleTimeoutMicros(),
                reader.maxPollIntervalMicros());
    }

    private static void checkClasses(List<RequestClass> classes) throws ProtocolException {
        if (classes.isEmpty()) {
            throw new ProtocolException("the settings name no classes");
        }
        if (classes.size() > MAX_CLASSES) {
            throw new ProtocolException(
                    "settings: classes are 1 to " + MAX_CLASSES + ", not " + classes.size());
        }
        Set<String> names = new HashSet<>();
        for (RequestClass type : classes) {
            if (!names.add(type.name())) {
                throw new ProtocolException(
                        "settings: classes have names of their own, not " + type.name() + " twice");
            }
        }
    }

    /**
     * Returns a copy of these settings with this node index. Settings that all nodes share do not
     * contain an index.
     */
    public NodeSettings forNode(int nodeIndex) {
        DecisionSettings shared = decisions;
        return new NodeSettings(
                new DecisionSettings(
                        nodeIndex,
                        shared.nodeCount(),
                        shared.zone(),
                        shared.eventInterval(),
                        shared.discoveryMode(),
                        shared.reportsLoad(),
                        shared.clientRetriesMarked(),
                        shared.cacheAffinity(),
                        shared.limits(),
                        shared.rules(),
                        shared.costs(),
                        shared.requestClasses()),
                zones,
                kinds,
                connectTimeout,
                serverIdleTimeout,
                maxPollInterval);
    }
}
