// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.Locale;
import java.util.Optional;

/** The kinds of resources, in the order in which a snapshot lists them. */
public enum ResourceKind {
    SERVICE,
    SERVER,
    ROUTE,
    TENANT,
    SETTINGS;

    /** The name of the kind in messages. */
    public String wireName() {
        return name().toLowerCase(Locale.ROOT);
    }

    /** Finds a kind by its name in messages. */
    public static Optional<ResourceKind> ofWireName(String name) {
        for (ResourceKind kind : values()) {
            if (kind.wireName().equals(name)) {
                return Optional.of(kind);
            }
        }
        return Optional.empty();
    }
}
