// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.net;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** All links of a run, by the names of their two sides; the connecting side comes first. */
public final class Links {

    private record Ends(String from, String to) {}

    private final Map<Ends, Link> links = new LinkedHashMap<>();
    private final long seed;

    public Links(long seed) {
        this.seed = seed;
    }

    /** Adds a link with a latency of {@code base} to {@code base + jitter} microseconds. */
    public Link add(String from, String to, long base, long jitter) {
        Link link =
                new Link(seed ^ (from + '/' + to).hashCode() * 0x9E3779B97F4A7C15L, base, jitter);
        links.put(new Ends(from, to), link);
        return link;
    }

    public Link get(String from, String to) {
        return links.get(new Ends(from, to));
    }

    /** Returns the links between two sets of processes, whichever side connects. */
    public List<Link> between(List<String> some, List<String> others) {
        return links.entrySet().stream()
                .filter(
                        e ->
                                (some.contains(e.getKey().from())
                                                && others.contains(e.getKey().to()))
                                        || (others.contains(e.getKey().from())
                                                && some.contains(e.getKey().to())))
                .map(Map.Entry::getValue)
                .toList();
    }
}
