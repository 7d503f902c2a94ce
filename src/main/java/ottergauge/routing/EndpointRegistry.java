// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ottergauge.decision.api.EndpointState;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.protocol.EndpointList;

/**
 * The servers that are listed, and over that list what operators hold out: a server held out is a
 * draining one for all that comes after, whatever the list says of it meanwhile. The decision
 * module knows of no hand.
 */
final class EndpointRegistry {

    // What operators may hold out at one time: they can name no server that was never listed, so a
    // fleet that
    // replaces its servers under new names is the only way to so many.
    private static final int MOST_HELD = 4096;

    private record Back(long outSince, long backAt) {}

    private long coldFor;
    private final Map<String, DiscoveredEndpoint> listed = new LinkedHashMap<>();

    /** By name, since when: in the order of names, so that all is told in one order. */
    private final Map<String, Long> held = new TreeMap<>();

    private final Map<String, Back> back = new TreeMap<>();
    private long seq;

    EndpointRegistry(long coldFor) {
        this.coldFor = coldFor;
    }

    /** So long a server counts as cold from now on. */
    void coldFor(long span) {
        coldFor = span;
    }

    /** The version of what was told last. */
    long version() {
        return seq;
    }

    /** Takes what is told of the list and gives back what counts. */
    EndpointList follow(long now, EndpointList told) {
        back.values().removeIf(each -> now - each.backAt >= coldFor);
        seq = told.version();
        if (told.complete()) {
            listed.clear();
        }
        List<DiscoveredEndpoint> counts = new ArrayList<>();
        for (DiscoveredEndpoint host : told.endpoints()) {
            if (host.state() == EndpointState.REMOVED) {
                listed.remove(host.name());
            } else {
                listed.put(host.name(), host);
            }
            counts.add(overlaid(host));
        }
        return new EndpointList(told.version(), told.complete(), counts);
    }

    private DiscoveredEndpoint overlaid(DiscoveredEndpoint host) {
        EndpointState state =
                host.state() != EndpointState.REMOVED && held.containsKey(host.name())
                        ? EndpointState.DRAINING
                        : host.state();
        DiscoveredEndpoint born = born(host);
        return new DiscoveredEndpoint(
                born.name(),
                born.address(),
                born.zone(),
                born.kind(),
                born.cell(),
                state,
                born.weight(),
                born.startedAtMs());
    }

    private DiscoveredEndpoint born(DiscoveredEndpoint host) {
        Back since = back.get(host.name());
        // Servers are restarted while they are out. The list tells of it seconds late: until it
        // does, one
        // that was put back counts as started at that moment, and so is not pushed over while it is
        // cold.
        long born =
                since == null || host.startedAtMs() * 1000 >= since.outSince
                        ? host.startedAtMs()
                        : since.backAt / 1000;
        return new DiscoveredEndpoint(
                host.name(),
                host.address(),
                host.zone(),
                host.kind(),
                host.cell(),
                host.state(),
                host.weight(),
                born);
    }

    /** Whether an operator may name this server. */
    boolean knows(String name) {
        return listed.containsKey(name) || held.containsKey(name);
    }

    boolean holds(String name) {
        return held.containsKey(name);
    }

    /** Since when a server is held out. */
    long heldSince(String name) {
        return held.get(name);
    }

    /** Holds a server out; gives back what changes by that. */
    EndpointList hold(String name, long since) {
        if (held.size() < MOST_HELD && held.putIfAbsent(name, since) == null) {
            back.remove(name);
            return change(name);
        }
        return none();
    }

    /** Puts a server back; gives back what changes by that. */
    EndpointList release(long now, String name) {
        Long since = held.remove(name);
        if (since == null) {
            return none();
        }
        back.put(name, new Back(since, now));
        return change(name);
    }

    /** Those of the servers held out that are not among these. */
    List<String> heldBeside(Collection<String> names) {
        return held.keySet().stream().filter(name -> !names.contains(name)).toList();
    }

    private EndpointList change(String name) {
        DiscoveredEndpoint host = listed.get(name);
        return host == null ? none() : new EndpointList(seq, false, List.of(overlaid(host)));
    }

    private EndpointList none() {
        return new EndpointList(seq, false, List.of());
    }

    /** The whole list as it counts. */
    EndpointList inForce() {
        return new EndpointList(seq, true, listed.values().stream().map(this::overlaid).toList());
    }

    /** The whole list for a process that comes after; what is held out is kept apart from it. */
    EndpointList whole() {
        return new EndpointList(seq, true, listed.values().stream().map(this::born).toList());
    }

    Collection<String> names() {
        return listed.keySet();
    }
}
