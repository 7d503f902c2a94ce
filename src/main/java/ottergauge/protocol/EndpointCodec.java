// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.Map;
import java.util.Optional;
import ottergauge.decision.api.EndpointState;

/** The JSON fields that describe a server, except its name. They are the same in all messages. */
public final class EndpointCodec {

    /** The allowed values of a server's health. */
    public static final String HEALTH_NAMES = "in_service, terminating or terminated";

    private static final String IN_SERVICE = "in_service";
    private static final String TERMINATING = "terminating";
    private static final String TERMINATED = "terminated";

    private EndpointCodec() {}

    /** Reads the fields of the server with this name. An absent field has its default value. */
    public static DiscoveredEndpoint read(String name, Map<?, ?> fields) throws ProtocolException {
        String health = text(fields, "health");
        EndpointState state =
                state(health).orElseThrow(() -> new ProtocolException("unknown health " + health));
        return new DiscoveredEndpoint(
                name,
                Address.parse(text(fields, "dial")),
                text(fields, "site"),
                text(fields, "class"),
                (int) number(fields, "block", 0),
                state,
                number(fields, "share", 1),
                (long) number(fields, "born_ms", 0));
    }

    /** Writes the fields, without the name, into the object that the generator has open. */
    public static void writeFields(JsonGenerator out, DiscoveredEndpoint endpoint)
            throws IOException {
        out.writeStringField("dial", endpoint.address().toString());
        if (endpoint.zone() != null) {
            out.writeStringField("site", endpoint.zone());
        }
        if (endpoint.kind() != null) {
            out.writeStringField("class", endpoint.kind());
        }
        out.writeNumberField("block", endpoint.cell());
        out.writeStringField("health", healthName(endpoint.state()));
        out.writeNumberField("share", endpoint.weight());
        out.writeNumberField("born_ms", endpoint.startedAtMs());
    }

    /** The state for a value of the health field; empty if the value is unknown. */
    public static Optional<EndpointState> state(String health) {
        return switch (String.valueOf(health)) {
            case IN_SERVICE -> Optional.of(EndpointState.UP);
            case TERMINATING -> Optional.of(EndpointState.DRAINING);
            case TERMINATED -> Optional.of(EndpointState.REMOVED);
            default -> Optional.empty();
        };
    }

    private static String healthName(EndpointState state) {
        return switch (state) {
            case UP -> IN_SERVICE;
            case DRAINING -> TERMINATING;
            case REMOVED -> TERMINATED;
        };
    }

    private static String text(Map<?, ?> fields, String key) {
        return fields.get(key) instanceof String text ? text : null;
    }

    private static double number(Map<?, ?> fields, String key, double defaultValue) {
        return fields.get(key) instanceof Double number ? number : defaultValue;
    }
}
