// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.Comparator;
import java.util.Optional;

/**
 * The identity of a resource: its kind and its name. Keys are ordered by kind, then by name.
 * Snapshots list resources in this order.
 */
public record ResourceKey(ResourceKind kind, String name) implements Comparable<ResourceKey> {

    private static final Comparator<ResourceKey> ORDER =
            Comparator.comparing(ResourceKey::kind).thenComparing(ResourceKey::name);

    @Override
    public int compareTo(ResourceKey other) {
        return ORDER.compare(this, other);
    }

    /**
     * The key as {@code kind/name}, the form in which a snapshot page names the first key of the
     * next page.
     */
    public String path() {
        return kind.wireName() + "/" + name;
    }

    /** Parses {@code kind/name}; empty if the kind is unknown. The name is not validated. */
    public static Optional<ResourceKey> parsePath(String path) {
        int slash = path.indexOf('/');
        return slash < 0
                ? Optional.empty()
                : ResourceKind.ofWireName(path.substring(0, slash))
                        .map(kind -> new ResourceKey(kind, path.substring(slash + 1)));
    }

    @Override
    public String toString() {
        return kind.wireName() + " " + name;
    }
}
