// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.Map;
import ottergauge.protocol.DiscoveredEndpoint;

/** The value of a resource, by its kind. */
public sealed interface ResourceValue {

    /** The kind of the resource. */
    ResourceKind kind();

    /** The service that the resource belongs to; empty if it belongs to none. */
    default String service() {
        return "";
    }

    /** A service, to which servers and routes refer by name. */
    record Service(String description) implements ResourceValue {
        @Override
        public ResourceKind kind() {
            return ResourceKind.SERVICE;
        }
    }

    /** A server of a service; the resource's name is the endpoint's name. */
    record Server(String service, DiscoveredEndpoint endpoint) implements ResourceValue {
        @Override
        public ResourceKind kind() {
            return ResourceKind.SERVER;
        }
    }

    /**
     * Routes the requests whose path begins with a prefix to a service, and assigns them a request
     * class.
     */
    record Route(String service, String pathPrefix, String requestClass) implements ResourceValue {
        @Override
        public ResourceKind kind() {
            return ResourceKind.ROUTE;
        }
    }

    /** A tenant's limits across the entire deployment; a rate of 0 means no limit. */
    record Tenant(double requestsPerSecond, double burst, int openRequests, double weight)
            implements ResourceValue {
        @Override
        public ResourceKind kind() {
            return ResourceKind.TENANT;
        }
    }

    /** A deployment's settings: the {@code settings} object of a node's configuration. */
    record Settings(Map<String, Object> tree) implements ResourceValue {
        @Override
        public ResourceKind kind() {
            return ResourceKind.SETTINGS;
        }
    }
}
