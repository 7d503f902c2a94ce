// SPDX-License-Identifier: Apache-2.0
package ottergauge.resources;

import java.util.Comparator;

/** What a resource is known by. Keys are ordered by kind, then by name, as a snapshot lists them. */
public record ResourceKey(ResourceKind kind, String name) implements Comparable<ResourceKey> {

    private static final Comparator<ResourceKey> ORDER =
        Comparator.comparing(ResourceKey::kind).thenComparing(ResourceKey::name);

    @Override
    public int compareTo(ResourceKey other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return kind.wireName() + " " + name;
    }
}
