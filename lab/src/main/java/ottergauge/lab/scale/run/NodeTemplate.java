// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.run;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import ottergauge.lab.scale.scenario.ScaleScenario;

/**
 * Creates the configuration of a real node, or the template from which a hollow process creates the
 * configurations of its nodes.
 */
final class NodeTemplate {

    private static final int SOCKETS = 1_024;
    private static final int MEMORY_MB = 192;

    private NodeTemplate() {}

    /**
     * {@code known} is the server list that the node has at its start, and {@code version} its
     * version.
     */
    static ObjectNode of(
            ScaleScenario scenario,
            String name,
            int number,
            String listen,
            String discovery,
            long version,
            ArrayNode known) {
        ObjectNode root = JsonNodeFactory.instance.objectNode();
        root.put("name", name)
                .put("listen", listen)
                .put("discovery", discovery)
                .put("seed", Long.toHexString(scenario.seed() * 31 + number));
        root.putObject("limits")
                .put("cores", 1.0)
                .put("memory_mb", MEMORY_MB)
                .put("sockets", SOCKETS);
        root.putObject("known").put("seq", version).put("whole", true).set("hosts", known);
        root.set("settings", settings(scenario, number));
        return root;
    }

    private static ObjectNode settings(ScaleScenario scenario, int number) {
        ObjectNode settings = JsonNodeFactory.instance.objectNode();
        settings.put("me", number)
                .put("balancers", scenario.allNodes())
                .put("zone", "z0")
                .put("registryMode", "on_request");
        ServerList.zones().forEach(settings.putArray("zones")::add);
        settings.putArray("kinds").add("std");
        settings.putObject("clients").put("marksRetry", true);
        settings.putObject("reporting").put("how", "inline").putArray("fields").add("outstanding");
        settings.putObject("ceilings")
                .put("probes", true)
                .put("cancel", true)
                .put("retryAfter", true)
                .put("maxAttempts", 5)
                .put("maxRetryAfterMs", 600.0)
                .put("connectTimeoutMs", 200.0)
                .put("connIdleMs", 60_000);
        settings.putObject("rules")
                .put("answerSlackMs", 5.0)
                .put("stopSendingWithinMs", 250.0)
                .put("coldFrom", 0.3)
                .put("coldMs", 9000.0)
                .put("tipMultiple", 3.0)
                .put("fallMs", 1000.0)
                .put("mustAskInMs", 10_000);
        settings.putObject("penalties").put("probe", 0.002);
        settings.putArray("classes")
                .addObject()
                .put("name", "read")
                .put("semantics", "free")
                .put("aimMs", 800.0)
                .put("hardLimitMs", 1000.0)
                .put("value", 1.0);
        settings.putArray("parties");
        return settings;
    }
}
