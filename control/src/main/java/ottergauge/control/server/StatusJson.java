// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Optional;
import ottergauge.control.consensus.Role;
import ottergauge.resources.LogPosition;

/** Builds the response body of the status call. */
final class StatusJson {

    private static final JsonFactory JSON = new JsonFactory();

    private StatusJson() {}

    static byte[] of(
            String name,
            Role role,
            Optional<String> leader,
            Optional<LogPosition> position,
            long oldest,
            List<NodeStatusTable.NodeStatus> nodes,
            long nowMs) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeStringField("name", name);
            out.writeStringField("log", position.map(LogPosition::log).orElse(""));
            out.writeNumberField("version", position.map(LogPosition::version).orElse(0L));
            out.writeNumberField("oldest", oldest);
            out.writeStringField("role", role.wireName());
            out.writeStringField("leader", leader.orElse(""));
            out.writeArrayFieldStart("nodes");
            for (NodeStatusTable.NodeStatus node : nodes) {
                write(out, node, nowMs);
            }
            out.writeEndArray();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void write(JsonGenerator out, NodeStatusTable.NodeStatus node, long nowMs)
            throws IOException {
        out.writeStartObject();
        out.writeStringField("name", node.report().name());
        out.writeStringField("region", node.report().region());
        out.writeStringField("log", node.report().log());
        out.writeNumberField("in_force", node.report().effectiveVersion());
        out.writeNumberField("refused", node.report().rejectedVersion());
        out.writeNumberField("heard_ms", nowMs - node.receivedAtMs());
        out.writeEndObject();
    }
}
