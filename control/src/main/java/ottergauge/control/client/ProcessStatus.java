// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.client;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import ottergauge.resources.LogPosition;
import ottergauge.settings.JsonTree;

/** The status of a control process and of the nodes that poll it. */
public record ProcessStatus(
        String name, String role, LogPosition position, List<NodeStatus> nodes) {

    /**
     * A node's latest report.
     *
     * @param effectivePosition the position that is effective at the node
     * @param rejectedVersion the version that the node most recently rejected; 0 for none
     * @param reportAgeMs milliseconds since the report
     */
    public record NodeStatus(
            String name,
            String region,
            LogPosition effectivePosition,
            long rejectedVersion,
            long reportAgeMs) {}

    static ProcessStatus read(byte[] body) throws IOException {
        Map<String, Object> tree = JsonTree.read(body);
        List<NodeStatus> nodes = new ArrayList<>();
        if (tree.get("nodes") instanceof List<?> entries) {
            for (Object entry : entries) {
                if (entry instanceof Map<?, ?> fields) {
                    nodes.add(node(fields));
                }
            }
        }
        return new ProcessStatus(
                text(tree, "name"),
                text(tree, "role"),
                new LogPosition(text(tree, "log"), integer(tree, "version")),
                nodes);
    }

    private static NodeStatus node(Map<?, ?> fields) {
        return new NodeStatus(
                text(fields, "name"),
                text(fields, "region"),
                new LogPosition(text(fields, "log"), integer(fields, "in_force")),
                integer(fields, "refused"),
                integer(fields, "heard_ms"));
    }

    private static String text(Map<?, ?> fields, String key) {
        return fields.get(key) instanceof String text ? text : "";
    }

    private static long integer(Map<?, ?> fields, String key) {
        return fields.get(key) instanceof Double number ? number.longValue() : 0;
    }
}
