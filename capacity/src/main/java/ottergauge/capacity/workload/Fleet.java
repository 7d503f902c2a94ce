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

    private static final double[] SHARES = {0.5, 1.0, 2.0};
    private static final int BLOCKS = 64;
    // Every so many servers one was started lately enough for its entry to say when.
    private static final int STARTED_LATELY = 16;
    private static final long EPOCH_MS = 1_760_000_000_000L;
    private static final long DAY_MS = 86_400_000L;

    private final List<DiscoveredEndpoint> hosts;
    private long version = 1;
    private int nextChanged;

    private Fleet(List<DiscoveredEndpoint> hosts) {
        this.hosts = hosts;
    }

    /**
     * Draws a fleet whose servers are all reached at one address, as those behind a stand-in are.
     */
    public static Fleet draw(int servers, long seed, Address dial) {
        SplittableRandom random = new SplittableRandom(seed);
        List<DiscoveredEndpoint> hosts = new ArrayList<>(servers);
        for (int number = 0; number < servers; number++) {
            int kind = random.nextInt(KINDS.size());
            long bornMs =
                    random.nextInt(STARTED_LATELY) == 0 ? EPOCH_MS + random.nextLong(DAY_MS) : 0;
            hosts.add(
                    new DiscoveredEndpoint(
                            "server-%05d.example".formatted(number),
                            dial,
                            ZONES.get(random.nextInt(ZONES.size())),
                            KINDS.get(kind),
                            random.nextInt(BLOCKS),
                            EndpointState.UP,
                            SHARES[kind],
                            bornMs));
        }
        return new Fleet(hosts);
    }

    /** The number of servers. */
    public int size() {
        return hosts.size();
    }

    /** The whole list at its present version. */
    public EndpointList whole() {
        return new EndpointList(version, true, List.copyOf(hosts));
    }

    /** An empty list, which a node has that is to be told all by discovery. */
    public static EndpointList unknown() {
        return new EndpointList(0, true, List.of());
    }

    /** Makes the next change: one server begins to drain, or is in service again; each in turn. */
    public EndpointList change() {
        DiscoveredEndpoint before = hosts.get(nextChanged);
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
        hosts.set(nextChanged, after);
        // First it drains, then it is in service again: no more than one is out at a time.
        if (after.state() == EndpointState.UP) {
            nextChanged = (nextChanged + 1) % hosts.size();
        }
        version++;
        return new EndpointList(version, false, List.of(after));
    }

    /** Goes on to a new version without a change. */
    public EndpointList wholeAgain() {
        version++;
        return whole();
    }
}
