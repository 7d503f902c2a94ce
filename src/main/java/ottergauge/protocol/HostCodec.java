// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import ottergauge.DecisionApi.ServerState;
import ottergauge.protocol.HostList.Host;

/** The fields that describe one server in JSON, beside its name: the same in all messages. */
public final class HostCodec {

    /** The allowed forms of a server's health. */
    public static final String HEALTH_NAMES = "in_service, terminating or terminated";

    private static final String IN_SERVICE = "in_service";
    private static final String TERMINATING = "terminating";
    private static final String TERMINATED = "terminated";

    private HostCodec() {}

    /** Reads the fields of the server of this name; a field that is absent takes its default. */
    public static Host read(String name, Map<?, ?> fields) throws ProtocolException {
        String health = text(fields, "health");
        ServerState state =
                state(health).orElseThrow(() -> new ProtocolException("unknown health " + health));
        return new Host(
                name,
                Address.parse(text(fields, "dial")),
                text(fields, "site"),
                text(fields, "class"),
                (int) number(fields, "block", 0),
                state,
                number(fields, "share", 1),
                (long) number(fields, "born_ms", 0));
    }

    /** Writes the fields, without the name, into the object that is open. */
    public static void writeFields(JsonGenerator out, Host host) throws IOException {
        out.writeStringField("dial", host.dial().toString());
        if (host.site() != null) {
            out.writeStringField("site", host.site());
        }
        if (host.kind() != null) {
            out.writeStringField("class", host.kind());
        }
        out.writeNumberField("block", host.block());
        out.writeStringField("health", healthName(host.state()));
        out.writeNumberField("share", host.share());
        out.writeNumberField("born_ms", host.bornMs());
    }

    /** The state that this health stands for; empty if there is none. */
    public static Optional<ServerState> state(String health) {
        return switch (String.valueOf(health)) {
            case IN_SERVICE -> Optional.of(ServerState.UP);
            case TERMINATING -> Optional.of(ServerState.DRAINING);
            case TERMINATED -> Optional.of(ServerState.GONE);
            default -> Optional.empty();
        };
    }

    private static String healthName(ServerState state) {
        return switch (state) {
            case UP -> IN_SERVICE;
            case DRAINING -> TERMINATING;
            case GONE -> TERMINATED;
        };
    }

    private static String text(Map<?, ?> fields, String key) {
        return fields.get(key) instanceof String text ? text : null;
    }

    private static double number(Map<?, ?> fields, String key, double absent) {
        return fields.get(key) instanceof Double number ? number : absent;
    }
}
