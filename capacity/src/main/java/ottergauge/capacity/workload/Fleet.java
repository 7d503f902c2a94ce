// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.workload;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import ottergauge.decision.api.EndpointState;
import ottergauge.protocol.Address;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.protocol.EndpointList;

/**
 * A generated list of servers in the form that discovery returns, and incremental updates of it.
 * The same seed gives the same lists and updates.
 */
public final class Fleet {

    /** The zones of the servers. */
    public static final List<String> ZONES =
            List.of("z-01", "z-02", "z-03", "z-04", "z-05", "z-06", "z-07", "z-08", "z-09", "z-10");

    /** The machine types of the servers. */
    public static final List<String> KINDS = List.of("small", "medium", "large");

    private static final double[] WEIGHTS = {0.5, 1.0, 2.0};
    private static final int CELLS = 64;
    // On average, one server in 16 has a start time in its entry; the others started too long ago.
    private static final int RECENT_START_INTERVAL = 16;
    private static final long EPOCH_MS = 1_760_000_000_000L;
    private static final long DAY_MS = 86_400_000L;

    private final List<DiscoveredEndpoint> endpoints;
    private long version = 1;
    private int nextToChange;

    private Fleet(List<DiscoveredEndpoint> endpoints) {
        this.endpoints = endpoints;
    }

    /**
     * Generates a fleet. All its servers have the same address, because one stand-in answers for
     * all of them.
     */
    public static Fleet generate(int servers, long seed, Address sharedAddress) {
        SplittableRandom random = new SplittableRandom(seed);
        List<DiscoveredEndpoint> endpoints = new ArrayList<>(servers);
        for (int number = 0; number < servers; number++) {
            int kind = random.nextInt(KINDS.size());
            long startedMs =
                    random.nextInt(RECENT_START_INTERVAL) == 0
                            ? EPOCH_MS + random.nextLong(DAY_MS)
                            : 0;
            endpoints.add(
                    new DiscoveredEndpoint(
                            "server-%05d.example".formatted(number),
                            sharedAddress,
                            ZONES.get(random.nextInt(ZONES.size())),
                            KINDS.get(kind),
                            random.nextInt(CELLS),
                            EndpointState.UP,
                            WEIGHTS[kind],
                            startedMs));
        }
        return new Fleet(endpoints);
    }

    /** Returns the number of servers. */
    public int size() {
        return endpoints.size();
    }

    /** Returns the full list at its current version. */
    public EndpointList fullList() {
        return new EndpointList(version, true, List.copyOf(endpoints));
    }

    /** Returns the list of a node that gets all its endpoints from discovery. */
    public static EndpointList emptyList() {
        return new EndpointList(0, true, List.of());
    }

    /**
     * Makes the next change and returns it as an incremental update: one server starts to drain or
     * returns to service. The servers take turns.
     */
    public EndpointList change() {
        DiscoveredEndpoint before = endpoints.get(nextToChange);
        DiscoveredEndpoint after =
                new DiscoveredEndpoint(
                        before.name(),
                        before.address(),
                        before.zone(),
                        before.kind(),
                        before.cell(),
                        before.state() == EndpointState.UP
                                ? EndpointState.DRAINING
                                : EndpointState.UP,
                        before.weight(),
                        before.startedAtMs());
        endpoints.set(nextToChange, after);
        // A server returns to service before the next one drains: at most one is out of service.
        if (after.state() == EndpointState.UP) {
            nextToChange = (nextToChange + 1) % endpoints.size();
        }
        version++;
        return new EndpointList(version, false, List.of(after));
    }

    /** Returns the same servers as a full list with the next version. */
    public EndpointList fullListAtNextVersion() {
        version++;
        return fullList();
    }
}
