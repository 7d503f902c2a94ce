// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import ottergauge.protocol.Address;
import ottergauge.protocol.EndpointCodec;
import ottergauge.protocol.ProtocolException;
import ottergauge.resources.ResourceValue.Route;
import ottergauge.resources.ResourceValue.Server;
import ottergauge.resources.ResourceValue.Service;
import ottergauge.resources.ResourceValue.Settings;
import ottergauge.resources.ResourceValue.Tenant;
import ottergauge.settings.JsonTree;

/** Reads and writes the JSON of a resource's value, by its kind. */
final class ValueCodec {

    private static final String SERVICE = "service";
    private static final String DESCRIPTION = "description";
    private static final String DIAL = "dial";
    private static final String HEALTH = "health";
    private static final String PATH_PREFIX = "path_prefix";
    private static final String REQUEST_CLASS = "request_class";
    private static final String REQUESTS_PER_SECOND = "requests_per_second";
    private static final String BURST = "burst";
    private static final String OPEN_REQUESTS = "open_requests";
    private static final String WEIGHT = "weight";

    private ValueCodec() {}

    /** Reads the value of a resource; empty if it is invalid. */
    static Optional<ResourceValue> read(ResourceKey key, FieldReader fields) {
        int before = fields.errors().size();
        ResourceValue value =
                switch (key.kind()) {
                    case SERVICE -> new Service(fields.text(DESCRIPTION, ""));
                    case SERVER -> server(key.name(), fields);
                    case ROUTE ->
                            new Route(
                                    fields.text(SERVICE),
                                    fields.text(PATH_PREFIX),
                                    fields.text(REQUEST_CLASS));
                    case TENANT ->
                            new Tenant(
                                    fields.number(REQUESTS_PER_SECOND, 0),
                                    fields.number(BURST, 0),
                                    (int)
                                            fields.integer(
                                                    OPEN_REQUESTS,
                                                    0,
                                                    ResourceValidator.MAX_OPEN_REQUESTS,
                                                    0L),
                                    fields.number(WEIGHT, 1));
                    case SETTINGS -> new Settings(tree(fields.fields()));
                };
        return fields.errors().size() == before ? Optional.ofNullable(value) : Optional.empty();
    }

    // Types are checked first because EndpointCodec replaces a field of the wrong type with a
    // default.
    private static ResourceValue server(String name, FieldReader fields) {
        int before = fields.errors().size();
        String service = fields.text(SERVICE);
        checkDial(fields);
        String health = fields.text(HEALTH);
        if (EndpointCodec.state(health).isEmpty()) {
            fields.error(HEALTH, health, EndpointCodec.HEALTH_NAMES);
        }
        fields.textOrNull("site");
        fields.textOrNull("class");
        fields.integer("block", 0, ResourceValidator.MAX_BLOCK, 0L);
        fields.number("share", 1);
        fields.integer("born_ms", 0, FieldReader.MAX_SAFE_INTEGER, 0L);
        if (fields.errors().size() > before) {
            return null;
        }
        try {
            return new Server(service, EndpointCodec.read(name, fields.fields()));
        } catch (ProtocolException e) {
            fields.error(DIAL, fields.text(DIAL), e.getMessage());
            return null;
        }
    }

    private static void checkDial(FieldReader fields) {
        String dial = fields.text(DIAL);
        try {
            Address.parse(dial);
        } catch (ProtocolException e) {
            fields.error(DIAL, dial, "a numeric address and a port");
        }
    }

    private static Map<String, Object> tree(Map<?, ?> fields) {
        Map<String, Object> tree = new LinkedHashMap<>();
        fields.forEach((key, value) -> tree.put(String.valueOf(key), value));
        return tree;
    }

    /** Writes a value as an object. */
    static void write(JsonGenerator out, ResourceValue value) throws IOException {
        if (value instanceof Settings settings) {
            JsonTree.write(out, settings.tree());
            return;
        }
        out.writeStartObject();
        if (value instanceof Service service) {
            out.writeStringField(DESCRIPTION, service.description());
        } else if (value instanceof Server server) {
            out.writeStringField(SERVICE, server.service());
            EndpointCodec.writeFields(out, server.endpoint());
        } else if (value instanceof Route route) {
            out.writeStringField(SERVICE, route.service());
            out.writeStringField(PATH_PREFIX, route.pathPrefix());
            out.writeStringField(REQUEST_CLASS, route.requestClass());
        } else if (value instanceof Tenant tenant) {
            out.writeNumberField(REQUESTS_PER_SECOND, tenant.requestsPerSecond());
            out.writeNumberField(BURST, tenant.burst());
            out.writeNumberField(OPEN_REQUESTS, tenant.openRequests());
            out.writeNumberField(WEIGHT, tenant.weight());
        }
        out.writeEndObject();
    }
}
