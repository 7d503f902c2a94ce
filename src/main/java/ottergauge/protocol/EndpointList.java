// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;

/**
 * Discovery's endpoint list.
 *
 * @param version grows with each change; 0 for a list that does not come from discovery
 * @param complete whether the list is complete or has only the endpoints that changed
 * @param endpoints in the order of discovery's list
 */
public record EndpointList(long version, boolean complete, List<DiscoveredEndpoint> endpoints) {

    public static final EndpointList EMPTY = new EndpointList(0, true, List.of());

    private static final JsonFactory JSON = new JsonFactory();

    /** Reads discovery's answer. */
    public static EndpointList read(byte[] body) throws ProtocolException {
        return EndpointListReader.read(body);
    }

    /** The list in discovery's JSON format. */
    public byte[] json() {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator out = JSON.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeNumberField("seq", version);
            out.writeBooleanField("whole", complete);
            out.writeArrayFieldStart("hosts");
            for (DiscoveredEndpoint endpoint : endpoints) {
                out.writeStartObject();
                out.writeStringField("host", endpoint.name());
                EndpointCodec.writeFields(out, endpoint);
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
