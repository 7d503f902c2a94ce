// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.api.RequestClass;
import ottergauge.settings.SettingsReader;

/**
 * A deployment's settings as a node goes by them: those of its decisions, and those of its
 * connections and its list. All of them may be replaced while the node runs. Spans are
 * microseconds.
 */
public record NodeSettings(
        DecisionSettings decisions,
        List<String> zones,
        List<String> kinds,
        long connectTimeout,
        long connectionIdle,
        long askWithin) {

    /** The most classes that settings may name. */
    public static final int MOST_CLASSES = 1_024;

    /** Reads a settings object; what is wrong with it is said in one line. */
    public static NodeSettings of(Map<String, Object> tree) throws ProtocolException {
        Map<String, Object> settings = new LinkedHashMap<>(tree);
        // Discovery over sockets only answers: a node that waited to be told would never learn of a
        // server.
        settings.put("registryMode", "on_request");
        String fault = SettingsReader.fault(settings);
        if (fault != null) {
            throw new ProtocolException("settings: " + fault);
        }
        DecisionSettings decisions = SettingsReader.settings(settings);
        checkClasses(decisions.requestClasses());
        SettingsReader ceilings = new SettingsReader(settings).child("ceilings");
        return new NodeSettings(
                decisions,
                SettingsReader.names(settings, "zones"),
                SettingsReader.names(settings, "kinds"),
                ceilings.micros("connectTimeoutMs", 1000),
                ceilings.micros("connIdleMs", 15_000),
                new SettingsReader(settings).child("rules").micros("mustAskInMs", 10_000));
    }

    private static void checkClasses(List<RequestClass> classes) throws ProtocolException {
        if (classes.isEmpty()) {
            throw new ProtocolException("the settings name no classes");
        }
        if (classes.size() > MOST_CLASSES) {
            throw new ProtocolException(
                    "settings: classes are 1 to " + MOST_CLASSES + ", not " + classes.size());
        }
        Set<String> names = new HashSet<>();
        for (RequestClass type : classes) {
            if (!names.add(type.name())) {
                throw new ProtocolException(
                        "settings: classes have names of their own, not " + type.name() + " twice");
            }
        }
    }

    /** The same for the node of this number: settings that all nodes share can't tell it. */
    public NodeSettings forNode(int number) {
        DecisionSettings shared = decisions;
        return new NodeSettings(
                new DecisionSettings(
                        number,
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
                connectionIdle,
                askWithin);
    }
}
