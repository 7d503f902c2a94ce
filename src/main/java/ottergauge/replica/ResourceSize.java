// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.List;
import java.util.Map;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceValue;

/**
 * Estimates the bytes that a resource takes in memory, its entry in a {@link ResourceTable}
 * included. The estimate is rather too high than too low.
 */
final class ResourceSize {

    /** The objects of the resource, its key and its value, the version and the map entry. */
    private static final int RESOURCE_BYTES = 200;

    private static final int ENDPOINT_BYTES = 104;

    /** A string and its array, without the characters. */
    private static final int STRING_BYTES = 48;

    private static final int BYTES_PER_CHARACTER = 2;
    private static final int MAP_ENTRY_BYTES = 48;
    private static final int MAP_BYTES = 112;
    private static final int LIST_ENTRY_BYTES = 8;
    private static final int LIST_BYTES = 64;
    private static final int NUMBER_BYTES = 24;

    private ResourceSize() {}

    /** The estimated bytes of a resource. */
    static long of(Resource resource) {
        return RESOURCE_BYTES + text(resource.key().name()) + value(resource.value());
    }

    private static long value(ResourceValue value) {
        if (value instanceof ResourceValue.Server server) {
            DiscoveredEndpoint endpoint = server.endpoint();
            return ENDPOINT_BYTES
                    + text(server.service())
                    + text(endpoint.address().host())
                    + text(endpoint.zone())
                    + text(endpoint.kind());
        } else if (value instanceof ResourceValue.Settings settings) {
            return tree(settings.tree());
        } else if (value instanceof ResourceValue.Route route) {
            return text(route.service()) + text(route.pathPrefix()) + text(route.requestClass());
        } else if (value instanceof ResourceValue.Service service) {
            return text(service.description());
        }
        return 0;
    }

    private static long tree(Object value) {
        if (value instanceof Map<?, ?> map) {
            long bytes = MAP_BYTES;
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                bytes +=
                        MAP_ENTRY_BYTES
                                + text(String.valueOf(entry.getKey()))
                                + tree(entry.getValue());
            }
            return bytes;
        } else if (value instanceof List<?> list) {
            long bytes = LIST_BYTES;
            for (Object each : list) {
                bytes += LIST_ENTRY_BYTES + tree(each);
            }
            return bytes;
        }
        return value instanceof String text ? text(text) : NUMBER_BYTES;
    }

    private static long text(String text) {
        return text == null ? 0 : STRING_BYTES + (long) BYTES_PER_CHARACTER * text.length();
    }
}
