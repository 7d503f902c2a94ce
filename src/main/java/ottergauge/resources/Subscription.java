// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.Set;

/**
 * Which resources a node follows: those of its services (of all, if it names none), those that
 * belong to no service, and of the settings those of one name.
 */
public record Subscription(Set<String> services, String settingsName) {

    /** Whether a resource of this key and service is followed. */
    public boolean matches(ResourceKey key, String service) {
        return switch (key.kind()) {
            case SETTINGS -> key.name().equals(settingsName);
            case SERVICE -> services.isEmpty() || services.contains(key.name());
            case SERVER, ROUTE -> services.isEmpty() || services.contains(service);
            case TENANT -> true;
        };
    }
}
