// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.node;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import ottergauge.lab.net.LoopbackAddresses;
import ottergauge.lab.scenario.Scenario;
import ottergauge.lab.scenario.Scenario.Effect;
import ottergauge.lab.scenario.Scenario.Platform;
import ottergauge.lab.scenario.Scenario.RequestClass;

/**
 * Creates the content of a node's configuration file as the platform would. Durations in it are
 * milliseconds.
 */
public final class NodeConfig {

    private static final ObjectMapper JSON = new ObjectMapper();
    private static final double MS = 1_000;
    private static final Map<Effect, String> SEMANTICS =
            Map.of(Effect.SAFE, "free", Effect.KEYED, "guarded", Effect.UNSAFE, "single_shot");

    private NodeConfig() {}

    /**
     * Returns the configuration of a node. {@code known} are the entries of the endpoint list with
     * which the node starts. {@code extra} is merged into the root object; null adds nothing.
     */
    public static String of(
            Scenario scenario,
            LoopbackAddresses addresses,
            int node,
            long seed,
            List<String> known,
            ObjectNode extra) {
        try {
            ObjectNode root = JSON.createObjectNode();
            root.put("name", "n" + node);
            root.put("listen", LoopbackAddresses.text(addresses.node(node)));
            root.put("discovery", LoopbackAddresses.text(addresses.registry(node)));
            root.put("seed", String.format("%016x", seed));
            root.putObject("limits")
                    .put("cores", scenario.nodes().cores())
                    .put("memory_mb", scenario.nodes().memoryMb())
                    .put("sockets", scenario.nodes().sockets());
            ObjectNode list = root.putObject("known").put("seq", 1).put("whole", true);
            ArrayNode hosts = list.putArray("hosts");
            for (String line : known) {
                hosts.add(JSON.readTree(line));
            }
            root.set("settings", settings(scenario, node));
            if (extra != null) {
                root.setAll(extra);
            }
            return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(root);
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
    }

    private static ObjectNode settings(Scenario scenario, int node) {
        Platform platform = scenario.platform();
        ObjectNode settings = JSON.createObjectNode();
        settings.put("me", node - 1)
                .put("balancers", scenario.nodes().count())
                .put("family", "proxy")
                .put("registryMode", "on_request")
                .put("roundMs", 1.0)
                .put("worthBy", "request")
                .put("weights", "off")
                .put("zone", zoneOf(scenario, node));
        ArrayNode zones = settings.putArray("zones");
        scenario.zones().forEach(zones::add);
        ArrayNode kinds = settings.putArray("kinds");
        scenario.servers().forEach(kind -> kinds.add(kind.name()));
        settings.putObject("clients").put("marksRetry", scenario.clients().marksRetry());
        settings.putObject("reporting")
                .put("how", platform.reports() ? "inline" : "off")
                .putArray("fields")
                .add("outstanding")
                .add("backlog")
                .add("utilization");
        settings.putObject("ceilings")
                .put("probes", platform.probes())
                .put("cancel", platform.cancel())
                .put("retryAfter", platform.retryAfter())
                .put("maxAttempts", (double) platform.maxAttempts())
                .put("maxRetryAfterMs", platform.maxRetryAfter() / MS)
                .put("secondCopies", false)
                .put("connectTimeoutMs", platform.connectTimeout() / MS)
                .put("connIdleMs", platform.connectionIdle() / MS)
                .put("peerMessages", scenario.nodes().peerMessages());
        Scenario.ServerKind kind = scenario.servers().get(0);
        settings.putObject("rules")
                .put("answerSlackMs", platform.answerSlack() / MS)
                .put("stopSendingWithinMs", platform.drainGrace() / MS)
                .put("coldFrom", kind.coldFrom())
                .put("coldMs", kind.coldFor() / MS)
                .put("tipMultiple", platform.overloadMultiple())
                .put("fallMs", platform.overloadWindow() / MS)
                .put("mustAskInMs", scenario.registry().maxPollInterval() / MS);
        settings.putObject("penalties").put("probe", platform.probePrice()).put("connection", 0.0);
        ArrayNode classes = settings.putArray("classes");
        for (RequestClass type : scenario.classes()) {
            classes.addObject()
                    .put("name", type.name())
                    .put("semantics", SEMANTICS.get(type.effect()))
                    .put("group", type.group().name().toLowerCase(Locale.ROOT))
                    .put("aimMs", type.latencyObjective() / MS)
                    .put("hardLimitMs", type.deadline() / MS)
                    .put("windowMs", type.window() / MS)
                    .put("value", type.worth())
                    .put("lateWorth", type.lateWorth())
                    .put("streamed", false);
        }
        ArrayNode parties = settings.putArray("parties");
        double capacity = scenario.capacity();
        double portions =
                scenario.tenants().stream().mapToDouble(Scenario.Tenant::capacityShare).sum();
        scenario.tenants()
                .forEach(
                        tenant ->
                                parties.addObject()
                                        .put("name", tenant.name())
                                        .put("portion", tenant.capacityShare() / portions)
                                        .put(
                                                "quotaPerS",
                                                tenant.capacityShare() / portions * capacity));
        return settings;
    }

    /** Returns a node's zone; nodes are assigned to the zones in turn. */
    public static String zoneOf(Scenario scenario, int node) {
        return scenario.zones().get((node - 1) % scenario.zones().size());
    }
}
