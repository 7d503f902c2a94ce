// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import ottergauge.DecisionApi.ServerState;
import ottergauge.protocol.HostList.Host;

/** One server's entry in a list, as JSON. Fields that an entry does not have take their usual value. */
public final class HostCodec {

    private static final String NAME = "host";
    private static final String DIAL = "dial";
    private static final String SITE = "site";
    private static final String KIND = "class";
    private static final String BLOCK = "block";
    private static final String HEALTH = "health";
    private static final String SHARE = "share";
    private static final String BORN_MS = "born_ms";
    private static final double USUAL_SHARE = 1;

    private HostCodec() {
    }

    /** Reads the entry whose opening brace is the parser's current token; unknown fields are passed over. */
    public static Host read(JsonParser in) throws IOException, ProtocolException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new ProtocolException("an entry is an object");
        }
        Fields fields = new Fields();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String field = in.currentName();
            in.nextToken();
            fields.take(field, in);
        }
        return fields.host();
    }

    /** Writes an entry's fields into the object that is open. */
    public static void writeFields(JsonGenerator out, Host host) throws IOException {
        out.writeStringField(NAME, host.name());
        out.writeStringField(DIAL, host.dial().toString());
        if (host.site() != null) {
            out.writeStringField(SITE, host.site());
        }
        if (host.kind() != null) {
            out.writeStringField(KIND, host.kind());
        }
        out.writeNumberField(BLOCK, host.block());
        out.writeStringField(HEALTH, healthOf(host.state()));
        out.writeNumberField(SHARE, host.share());
        out.writeNumberField(BORN_MS, host.bornMs());
    }

    private static String healthOf(ServerState state) {
        return switch (state) {
            case UP -> "in_service";
            case DRAINING -> "terminating";
            case GONE -> "terminated";
        };
    }

    private static ServerState stateOf(String health) throws ProtocolException {
        return switch (String.valueOf(health)) {
            case "in_service" -> ServerState.UP;
            case "terminating" -> ServerState.DRAINING;
            case "terminated" -> ServerState.GONE;
            default -> throw new ProtocolException("unknown health " + health);
        };
    }

    /** An entry's fields as far as they are read. A value of another type counts as not there. */
    public static final class Fields {

        private String name;
        private String dial;
        private String site;
        private String kind;
        private String health;
        private double block;
        private double share = USUAL_SHARE;
        private double bornMs;

        /** Takes a field whose value is the parser's current token; says whether it is one of an entry's. */
        public boolean take(String field, JsonParser in) throws IOException {
            switch (field) {
                case NAME -> name = text(in);
                case DIAL -> dial = text(in);
                case SITE -> site = text(in);
                case KIND -> kind = text(in);
                case HEALTH -> health = text(in);
                case BLOCK -> block = number(in, 0);
                case SHARE -> share = number(in, USUAL_SHARE);
                case BORN_MS -> bornMs = number(in, 0);
                default -> {
                    in.skipChildren();
                    return false;
                }
            }
            return true;
        }

        /** The entry, once all of its fields are read. */
        public Host host() throws ProtocolException {
            if (name == null || name.isEmpty()) {
                throw new ProtocolException("an entry needs a host");
            }
            return new Host(name, Address.parse(dial), site, kind, (int) block, stateOf(health), share,
                (long) bornMs);
        }

        private static String text(JsonParser in) throws IOException {
            String text = in.currentToken() == JsonToken.VALUE_STRING ? in.getText() : null;
            in.skipChildren();
            return text;
        }

        private static double number(JsonParser in, double absent) throws IOException {
            double number = in.currentToken().isNumeric() ? in.getDoubleValue() : absent;
            in.skipChildren();
            return number;
        }
    }
}
