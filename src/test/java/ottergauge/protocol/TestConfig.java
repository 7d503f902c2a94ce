// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** Builds a node's configuration in the JSON format of the configuration file. */
public final class TestConfig {

    /** One of the default request classes, together with {@link #PAY} and {@link #GRANT}. */
    public static final String READ = requestClass("read", "free", 1000);

    public static final String PAY =
            requestClass("pay", "guarded", 1000)
                    .replace("}", ",\"group\":\"zone\",\"windowMs\":800.0}");
    public static final String GRANT = requestClass("grant", "single_shot", 1000);

    private final List<String> endpoints = new ArrayList<>();
    private List<String> classes = List.of(READ, PAY, GRANT);
    private String zones = "\"a\",\"b\"";
    private String listen = "127.0.0.1:3000";
    private String discovery = "127.0.0.1:8500";
    private String adminAddress;
    private int sockets = 1024;
    private int maxAttempts = 5;
    private long serverIdleTimeoutMs = 10_000;
    private long maxPollIntervalMs = 10_000;
    private boolean probes;
    private boolean cancel = true;
    private int nodes = 1;
    private int nodeIndex;
    private double probeCost = 0.002;

    /** One entry of an endpoint list. */
    public static String endpointJson(String name, String dial, String health) {
        return """
        {"host":"%s","dial":"%s","site":"a","class":"m2","block":3,"health":"%s",
         "share":1.0,"born_ms":0}\
        """
                .formatted(name, dial, health);
    }

    /** A request class with this deadline, in the JSON form of settings. */
    public static String requestClass(String name, String semantics, long limitMs) {
        return """
        {"name":"%s","semantics":"%s","aimMs":800.0,"hardLimitMs":%d.0,"value":1.0}\
        """
                .formatted(name, semantics, limitMs);
    }

    /**
     * One entry of an endpoint list, for a server that started at this Unix time in milliseconds.
     */
    public static String endpointStartedAt(String name, String dial, long bornMs) {
        return endpointJson(name, dial, "in_service")
                .replace("\"born_ms\":0", "\"born_ms\":" + bornMs);
    }

    /** An endpoint list in the JSON form of discovery's answers. */
    public static String list(long seq, boolean whole, String... entries) {
        return "{\"seq\":%d,\"whole\":%b,\"hosts\":[%s]}"
                .formatted(seq, whole, String.join(",", entries));
    }

    public TestConfig withEndpoints(String... entries) {
        endpoints.addAll(List.of(entries));
        return this;
    }

    public TestConfig withAddresses(String listenAddress, String discoveryAddress) {
        listen = listenAddress;
        discovery = discoveryAddress;
        return this;
    }

    public TestConfig withAdminListener(String address) {
        adminAddress = address;
        return this;
    }

    /** Sets these classes instead of the default ones. */
    public TestConfig classes(String... entries) {
        classes = List.of(entries);
        return this;
    }

    public TestConfig zones(String... names) {
        zones = "\"" + String.join("\",\"", names) + "\"";
        return this;
    }

    public TestConfig sockets(int max) {
        sockets = max;
        return this;
    }

    public TestConfig withMaxAttempts(int max) {
        maxAttempts = max;
        return this;
    }

    /** Makes settings that do not allow the cancellation of attempts. */
    public TestConfig withoutCancellation() {
        cancel = false;
        return this;
    }

    public TestConfig probes() {
        probes = true;
        return this;
    }

    /** Sets the node's index among all nodes. */
    public TestConfig nodeIndex(int number) {
        nodeIndex = number;
        return this;
    }

    /** Sets the number of nodes. */
    public TestConfig nodeCount(int nodeCount) {
        nodes = nodeCount;
        return this;
    }

    /**
     * Turns load probes on, and sets the number of nodes and the cost of a probe, as {@link
     * ottergauge.decision.api.Costs} defines it.
     */
    public TestConfig probingNodes(int nodeCount, double cost) {
        nodes = nodeCount;
        probeCost = cost;
        return probes();
    }

    public TestConfig serverIdleTimeoutMs(long ms) {
        serverIdleTimeoutMs = ms;
        return this;
    }

    public TestConfig maxPollIntervalMs(long ms) {
        maxPollIntervalMs = ms;
        return this;
    }

    public String json() {
        return """
        {"name":"n1","listen":"%s","discovery":"%s",%s"seed":"8c1f30d27a5be964",
         "limits":{"cores":1.0,"memory_mb":192,"sockets":%d},
         "known":%s,
         "settings":{"me":%d,"balancers":%d,"zone":"a","zones":[%s],"kinds":["m1","m2"],
          "registryMode":"on_request","clients":{"marksRetry":true},
          "reporting":{"how":"%s","fields":["outstanding"]},
          "ceilings":{"probes":%b,"cancel":%b,"retryAfter":true,"maxAttempts":%d,
           "maxRetryAfterMs":600.0,"connectTimeoutMs":200.0,"connIdleMs":%d},
          "rules":{"answerSlackMs":5.0,"stopSendingWithinMs":250.0,"coldFrom":0.3,"coldMs":9000.0,
           "tipMultiple":3.0,"fallMs":1000.0,"mustAskInMs":%d},
          "penalties":{"probe":%s},
          "classes":[%s],
          "parties":[]}}
        """
                .formatted(
                        listen,
                        discovery,
                        adminAddress == null ? "" : "\"management\":\"" + adminAddress + "\",",
                        sockets,
                        list(41, true, endpoints.toArray(new String[0])),
                        nodeIndex,
                        nodes,
                        zones,
                        probes ? "inline" : "off",
                        probes,
                        cancel,
                        maxAttempts,
                        serverIdleTimeoutMs,
                        maxPollIntervalMs,
                        probeCost,
                        String.join(",", classes));
    }

    public NodeConfig build() {
        try {
            return NodeConfig.read(json().getBytes(StandardCharsets.UTF_8));
        } catch (ProtocolException e) {
            throw new IllegalStateException(e);
        }
    }
}
