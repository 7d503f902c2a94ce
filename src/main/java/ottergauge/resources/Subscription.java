// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.Set;

/**
 * The resources that a node replicates: those of its services, those that belong to no service, and
 * one settings resource.
 *
 * @param services the names of the services; empty for all
 * @param settingsName the name of the settings resource
 */
public record Subscription(Set<String> services, String settingsName) {

    /** Whether a resource of this key and service is replicated. */
    public boolean matches(ResourceKey key, String service) {
        return switch (key.kind()) {
            case SETTINGS -> key.name().equals(settingsName);
            case SERVICE -> services.isEmpty() || services.contains(key.name());
            case SERVER, ROUTE -> services.isEmpty() || services.contains(service);
            case TENANT -> true;
        };
    }
}
