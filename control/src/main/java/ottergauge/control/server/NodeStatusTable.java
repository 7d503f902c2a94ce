// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The nodes that were heard lately, with what they told last; the one not heard for longest goes
 * first.
 */
final class NodeStatusTable {

    static final int MAX_NODES = 4_096;
    static final long NODE_EXPIRY_MS = 600_000;

    /** A node's report, and when it came. */
    record NodeStatus(NodeReport report, long atMs) {}

    /** By name, in the order in which they were heard. */
    private final Map<String, NodeStatus> nodes = new LinkedHashMap<>();

    void heard(NodeReport report, long nowMs) {
        nodes.remove(report.name());
        nodes.put(report.name(), new NodeStatus(report, nowMs));
        if (nodes.size() > MAX_NODES) {
            nodes.remove(nodes.keySet().iterator().next());
        }
    }

    /** All that were heard within the last ten minutes. */
    List<NodeStatus> recent(long nowMs) {
        nodes.values().removeIf(heard -> nowMs - heard.atMs() > NODE_EXPIRY_MS);
        return new ArrayList<>(nodes.values());
    }
}
