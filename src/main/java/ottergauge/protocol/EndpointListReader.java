// SPDX-License-Identifier: Apache-2.0
package ottergauge.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import ottergauge.settings.JsonTree;

/**
 * Reads an endpoint list entry by entry, so that memory holds only the message's bytes and its
 * endpoints, and no tree of the message.
 */
final class EndpointListReader {

    // The largest integer that a double represents exactly with all smaller ones.
    private static final long MAX_VERSION = 1L << 53;
    private static final JsonFactory JSON = new JsonFactory();

    private Double version;
    private boolean complete;
    private List<DiscoveredEndpoint> endpoints;

    private EndpointListReader() {}

    /** Reads a message that consists of one list without trailing content. */
    static EndpointList read(byte[] body) throws ProtocolException {
        try (JsonParser in = JSON.createParser(body)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new ProtocolException("the list is no JSON object");
            }
            EndpointList list = read(in);
            if (in.nextToken() != null) {
                throw new ProtocolException("the list has something behind its object");
            }
            return list;
        } catch (IOException e) {
            throw new ProtocolException("the list: " + e.getMessage());
        }
    }

    /** Reads the list whose opening brace is the parser's current token. */
    static EndpointList read(JsonParser in) throws IOException, ProtocolException {
        EndpointListReader reader = new EndpointListReader();
        while (in.nextToken() != JsonToken.END_OBJECT) {
            String field = in.currentName();
            in.nextToken();
            reader.readField(field, in);
        }
        return reader.list();
    }

    private void readField(String field, JsonParser in) throws IOException, ProtocolException {
        switch (field) {
            case "seq" -> version = in.currentToken().isNumeric() ? in.getDoubleValue() : null;
            case "whole" -> complete = in.currentToken() == JsonToken.VALUE_TRUE;
            case "hosts" ->
                    endpoints = in.currentToken() == JsonToken.START_ARRAY ? entries(in) : null;
            default -> {}
        }
        in.skipChildren();
    }

    private static List<DiscoveredEndpoint> entries(JsonParser in)
            throws IOException, ProtocolException {
        List<DiscoveredEndpoint> entries = new ArrayList<>();
        while (in.nextToken() != JsonToken.END_ARRAY) {
            entries.add(entry(in));
        }
        return entries;
    }

    private static DiscoveredEndpoint entry(JsonParser in) throws IOException, ProtocolException {
        if (in.currentToken() != JsonToken.START_OBJECT) {
            throw new ProtocolException("an entry is an object");
        }
        Map<String, Object> fields = JsonTree.object(in);
        if (!(fields.get("host") instanceof String name) || name.isEmpty()) {
            throw new ProtocolException("an entry needs a host");
        }
        return EndpointCodec.read(name, fields);
    }

    private EndpointList list() throws ProtocolException {
        if (version == null || endpoints == null) {
            throw new ProtocolException("a list needs seq and hosts");
        }
        if (!(version >= 0 && version <= MAX_VERSION)) {
            throw new ProtocolException(
                    "seq is a whole number from 0 to " + MAX_VERSION + ", not " + version);
        }
        return new EndpointList(version.longValue(), complete, endpoints);
    }
}
