// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.List;
import java.util.Map;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceValue;

/**
 * Reckons what a resource takes in memory, its entry in a table included; rather too much than too
 * little.
 */
final class ResourceSize {

    /** Resource, key, value, version and entry of a map. */
    private static final int RESOURCE = 200;

    private static final int HOST = 104;

    /** A string and its array, beside the characters. */
    private static final int TEXT = 48;

    private static final int BYTES_A_CHARACTER = 2;
    private static final int MAP_ENTRY = 48;
    private static final int MAP = 112;
    private static final int LIST_ENTRY = 8;
    private static final int LIST = 64;
    private static final int NUMBER = 24;

    private ResourceSize() {}

    /** The bytes of a resource in force. */
    static long of(Resource resource) {
        return RESOURCE + text(resource.key().name()) + value(resource.value());
    }

    private static long value(ResourceValue value) {
        if (value instanceof ResourceValue.Server server) {
            DiscoveredEndpoint host = server.endpoint();
            return HOST
                    + text(server.service())
                    + text(host.address().host())
                    + text(host.zone())
                    + text(host.kind());
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
            long bytes = MAP;
            for (Map.Entry<?, ?> entry : map.entrySet()) {
                bytes += MAP_ENTRY + text(String.valueOf(entry.getKey())) + tree(entry.getValue());
            }
            return bytes;
        } else if (value instanceof List<?> list) {
            long bytes = LIST;
            for (Object each : list) {
                bytes += LIST_ENTRY + tree(each);
            }
            return bytes;
        }
        return value instanceof String text ? text(text) : NUMBER;
    }

    private static long text(String text) {
        return text == null ? 0 : TEXT + (long) BYTES_A_CHARACTER * text.length();
    }
}
