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
 * A list of servers as discovery tells it, and changes of it; the same seed gives the same lists.
 */
public final class Fleet {

    /** The zones that the servers of a fleet stand in. */
    public static final List<String> ZONES =
            List.of("z-01", "z-02", "z-03", "z-04", "z-05", "z-06", "z-07", "z-08", "z-09", "z-10");

    /** The kinds of machine that the servers of a fleet are of. */
    public static final List<String> KINDS = List.of("small", "medium", "large");

    private static final double[] WEIGHTS = {0.5, 1.0, 2.0};
    private static final int CELLS = 64;
    // Every so many servers one was started lately enough for its entry to say when.
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
     * Draws a fleet whose servers are all reached at one address, as those behind a stand-in are.
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

    /** The number of servers. */
    public int size() {
        return endpoints.size();
    }

    /** The whole list at its present version. */
    public EndpointList fullList() {
        return new EndpointList(version, true, List.copyOf(endpoints));
    }

    /** An empty list, which a node has that is to be told all by discovery. */
    public static EndpointList emptyList() {
        return new EndpointList(0, true, List.of());
    }

    /** Makes the next change: one server begins to drain, or is in service again; each in turn. */
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
        // First it drains, then it is in service again: no more than one is out at a time.
        if (after.state() == EndpointState.UP) {
            nextToChange = (nextToChange + 1) % endpoints.size();
        }
        version++;
        return new EndpointList(version, false, List.of(after));
    }

    /** Goes on to a new version without a change. */
    public EndpointList fullListAtNextVersion() {
        version++;
        return fullList();
    }
}
