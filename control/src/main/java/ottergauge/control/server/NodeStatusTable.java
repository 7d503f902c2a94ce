// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The latest report of each node. Reports expire after ten minutes. The number of nodes is limited;
 * the node that has not reported for the longest time is evicted first.
 */
final class NodeStatusTable {

    static final int MAX_NODES = 4_096;
    static final long NODE_EXPIRY_MS = 600_000;

    /** A node's latest report and the time at which it was received. */
    record NodeStatus(NodeReport report, long receivedAtMs) {}

    /** Keyed by node name, with the least recent report first. */
    private final Map<String, NodeStatus> nodes = new LinkedHashMap<>();

    void record(NodeReport report, long nowMs) {
        nodes.remove(report.name());
        nodes.put(report.name(), new NodeStatus(report, nowMs));
        if (nodes.size() > MAX_NODES) {
            nodes.remove(nodes.keySet().iterator().next());
        }
    }

    /** The nodes whose reports have not expired, the least recent report first. */
    List<NodeStatus> current(long nowMs) {
        nodes.values().removeIf(node -> nowMs - node.receivedAtMs() > NODE_EXPIRY_MS);
        return new ArrayList<>(nodes.values());
    }
}
