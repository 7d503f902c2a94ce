// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.client;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import ottergauge.resources.LogPosition;
import ottergauge.settings.JsonTree;

/** What a control process tells of itself and of the nodes that call it. */
public record ProcessStatus(
        String name, String role, LogPosition position, List<NodeStatus> nodes) {

    /** What a node told last, and how long ago. */
    public record NodeStatus(
            String name,
            String region,
            LogPosition effectiveVersion,
            long refused,
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
                new LogPosition(text(tree, "log"), whole(tree, "version")),
                nodes);
    }

    private static NodeStatus node(Map<?, ?> fields) {
        return new NodeStatus(
                text(fields, "name"),
                text(fields, "region"),
                new LogPosition(text(fields, "log"), whole(fields, "in_force")),
                whole(fields, "refused"),
                whole(fields, "heard_ms"));
    }

    private static String text(Map<?, ?> fields, String key) {
        return fields.get(key) instanceof String text ? text : "";
    }

    private static long whole(Map<?, ?> fields, String key) {
        return fields.get(key) instanceof Double number ? number.longValue() : 0;
    }
}
