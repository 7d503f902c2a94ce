// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import ottergauge.DecisionApi.ServerState;
import ottergauge.protocol.HostList;
import ottergauge.protocol.HostList.Host;

/**
 * The servers that are listed, and over that list what operators hold out: a server held out is a
 * draining one for all that comes after, whatever the list says of it meanwhile. The decision
 * module knows of no hand.
 */
final class Roster {

    // What operators may hold out at one time: they can name no server that was never listed, so a
    // fleet that
    // replaces its servers under new names is the only way to so many.
    private static final int MOST_HELD = 4096;

    private record Back(long outSince, long backAt) {}

    private long coldFor;
    private final Map<String, Host> listed = new LinkedHashMap<>();

    /** By name, since when: in the order of names, so that all is told in one order. */
    private final Map<String, Long> held = new TreeMap<>();

    private final Map<String, Back> back = new TreeMap<>();
    private long seq;

    Roster(long coldFor) {
        this.coldFor = coldFor;
    }

    /** So long a server counts as cold from now on. */
    void coldFor(long span) {
        coldFor = span;
    }

    /** The version of what was told last. */
    long seq() {
        return seq;
    }

    /** Takes what is told of the list and gives back what counts. */
    HostList follow(long now, HostList told) {
        back.values().removeIf(each -> now - each.backAt >= coldFor);
        seq = told.seq();
        if (told.whole()) {
            listed.clear();
        }
        List<Host> counts = new ArrayList<>();
        for (Host host : told.hosts()) {
            if (host.state() == ServerState.GONE) {
                listed.remove(host.name());
            } else {
                listed.put(host.name(), host);
            }
            counts.add(overlaid(host));
        }
        return new HostList(told.seq(), told.whole(), counts);
    }

    private Host overlaid(Host host) {
        ServerState state =
                host.state() != ServerState.GONE && held.containsKey(host.name())
                        ? ServerState.DRAINING
                        : host.state();
        Host born = born(host);
        return new Host(
                born.name(),
                born.dial(),
                born.site(),
                born.kind(),
                born.block(),
                state,
                born.share(),
                born.bornMs());
    }

    private Host born(Host host) {
        Back since = back.get(host.name());
        // Servers are restarted while they are out. The list tells of it seconds late: until it
        // does, one
        // that was put back counts as started at that moment, and so is not pushed over while it is
        // cold.
        long born =
                since == null || host.bornMs() * 1000 >= since.outSince
                        ? host.bornMs()
                        : since.backAt / 1000;
        return new Host(
                host.name(),
                host.dial(),
                host.site(),
                host.kind(),
                host.block(),
                host.state(),
                host.share(),
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
    HostList hold(String name, long since) {
        if (held.size() < MOST_HELD && held.putIfAbsent(name, since) == null) {
            back.remove(name);
            return change(name);
        }
        return none();
    }

    /** Puts a server back; gives back what changes by that. */
    HostList release(long now, String name) {
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

    private HostList change(String name) {
        Host host = listed.get(name);
        return host == null ? none() : new HostList(seq, false, List.of(overlaid(host)));
    }

    private HostList none() {
        return new HostList(seq, false, List.of());
    }

    /** The whole list as it counts. */
    HostList inForce() {
        return new HostList(seq, true, listed.values().stream().map(this::overlaid).toList());
    }

    /** The whole list for a process that comes after; what is held out is kept apart from it. */
    HostList whole() {
        return new HostList(seq, true, listed.values().stream().map(this::born).toList());
    }

    Collection<String> names() {
        return listed.keySet();
    }
}
