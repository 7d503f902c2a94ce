// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import ottergauge.DecisionApi.ServerState;
import ottergauge.settings.JsonTree;

/** Discovery's list of servers, whole or only what changed. */
public record HostList(long seq, boolean whole, List<Host> hosts) {

    /** One server: {@code name} is its identity, {@code dial} where this node reaches it. */
    public record Host(String name, Address dial, String site, String kind, int block, ServerState state,
                       double share, long bornMs) { }

    public static final HostList EMPTY = new HostList(0, true, List.of());

    // The largest whole number that a JSON number tells exactly.
    private static final long MOST_SEQ = 1L << 53;
    private static final JsonFactory JSON = new JsonFactory();

    /** Reads discovery's answer. */
    public static HostList read(byte[] body) throws ProtocolException {
        try {
            return of(JsonTree.read(body));
        } catch (IOException e) {
            throw new ProtocolException("the list: " + e.getMessage());
        }
    }

    static HostList of(Map<?, ?> tree) throws ProtocolException {
        if (!(tree.get("seq") instanceof Double seq) || !(tree.get("hosts") instanceof List<?> entries)) {
            throw new ProtocolException("a list needs seq and hosts");
        }
        if (!(seq >= 0 && seq <= MOST_SEQ)) {
            throw new ProtocolException("seq is a whole number from 0 to " + MOST_SEQ + ", not " + seq);
        }
        List<Host> hosts = new ArrayList<>();
        for (Object entry : entries) {
            if (!(entry instanceof Map<?, ?> fields)) {
                throw new ProtocolException("an entry is an object");
            }
            hosts.add(host(fields));
        }
        return new HostList(seq.longValue(), Boolean.TRUE.equals(tree.get("whole")), hosts);
    }

    private static Host host(Map<?, ?> fields) throws ProtocolException {
        if (!(fields.get("host") instanceof String name) || name.isEmpty()) {
            throw new ProtocolException("an entry needs a host");
        }
        return HostCodec.read(name, fields);
    }

    /** The list in discovery's form. */
    public byte[] json() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeNumberField("seq", seq);
            out.writeBooleanField("whole", whole);
            out.writeArrayFieldStart("hosts");
            for (Host host : hosts) {
                write(out, host);
            }
            out.writeEndArray();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }

    private static void write(JsonGenerator out, Host host) throws IOException {
        out.writeStartObject();
        out.writeStringField("host", host.name());
        HostCodec.writeFields(out, host);
        out.writeEndObject();
    }
}
