// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import ottergauge.DecisionApi.ServerState;

/** Discovery's list of servers, whole or only what changed. */
public record HostList(long seq, boolean whole, List<Host> hosts) {

    /** One server: {@code name} is its identity, {@code dial} where this node reaches it. */
    public record Host(
            String name,
            Address dial,
            String site,
            String kind,
            int block,
            ServerState state,
            double share,
            long bornMs) {}

    public static final HostList EMPTY = new HostList(0, true, List.of());

    private static final JsonFactory JSON = new JsonFactory();

    /** Reads discovery's answer. */
    public static HostList read(byte[] body) throws ProtocolException {
        return HostListReader.read(body);
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
                out.writeStartObject();
                out.writeStringField("host", host.name());
                HostCodec.writeFields(out, host);
                out.writeEndObject();
            }
            out.writeEndArray();
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
