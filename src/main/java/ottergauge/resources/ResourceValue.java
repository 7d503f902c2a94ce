// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.Map;
import ottergauge.protocol.DiscoveredEndpoint;

/** What a resource says, by its kind. */
public sealed interface ResourceValue {

    /** The kind of resource that has such a value. */
    ResourceKind kind();

    /** The service that the resource belongs to; empty where it belongs to all. */
    default String service() {
        return "";
    }

    /** A service exists: servers and routes name one that does. */
    record Service(String description) implements ResourceValue {
        @Override
        public ResourceKind kind() {
            return ResourceKind.SERVICE;
        }
    }

    /** A server of a service, as discovery lists it; the resource's name is the endpoint's name. */
    record Server(String service, DiscoveredEndpoint endpoint) implements ResourceValue {
        @Override
        public ResourceKind kind() {
            return ResourceKind.SERVER;
        }
    }

    /** Requests whose path begins so go to this service, as requests of this class. */
    record Route(String service, String pathPrefix, String requestClass) implements ResourceValue {
        @Override
        public ResourceKind kind() {
            return ResourceKind.ROUTE;
        }
    }

    /** A tenant's limits over the whole deployment; a rate of 0 is no limit. */
    record Tenant(double requestsPerSecond, double burst, int openRequests, double weight)
            implements ResourceValue {
        @Override
        public ResourceKind kind() {
            return ResourceKind.TENANT;
        }
    }

    /**
     * A deployment's settings, as the {@code settings} object of a node's configuration holds them.
     */
    record Settings(Map<String, Object> tree) implements ResourceValue {
        @Override
        public ResourceKind kind() {
            return ResourceKind.SETTINGS;
        }
    }
}
