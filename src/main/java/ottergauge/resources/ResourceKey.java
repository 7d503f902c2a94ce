// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.Comparator;
import java.util.Optional;

/**
 * What a resource is known by. Keys are ordered by kind, then by name, as a snapshot lists them.
 */
public record ResourceKey(ResourceKind kind, String name) implements Comparable<ResourceKey> {

    private static final Comparator<ResourceKey> ORDER =
            Comparator.comparing(ResourceKey::kind).thenComparing(ResourceKey::name);

    @Override
    public int compareTo(ResourceKey other) {
        return ORDER.compare(this, other);
    }

    /** The key in one word, as a snapshot's pages name the key that they begin at. */
    public String path() {
        return kind.wireName() + "/" + name;
    }

    /** The key of such a word; empty if its kind is unknown. The name may have any form. */
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
