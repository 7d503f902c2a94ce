// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.workload;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import ottergauge.decision.api.EndpointState;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.resources.Change;
import ottergauge.resources.ChangePage;
import ottergauge.resources.LogPosition;
import ottergauge.resources.Resource;
import ottergauge.resources.ResourceKey;
import ottergauge.resources.ResourceKind;
import ottergauge.resources.ResourceValue;
import ottergauge.resources.SnapshotPage;
import ottergauge.resources.Subscription;

/**
 * A generated state of a control process: services with their servers, routes and tenants, in the
 * ratios of the capacity target. It can be changed and split into snapshot pages. The same seed
 * gives the same state.
 */
public final class VersionedFleet {

    /** The name of the change log that numbers the versions. */
    public static final String LOG = "capacity";

    /** The subscription of a node that follows all resources. */
    public static final Subscription ALL = new Subscription(Set.of(), "default");

    // The capacity target: 8,000 servers in 500 services, 2,700 routes, 38,000 tenants.
    private static final int TARGET_SERVERS = 8_000;
    private static final int TARGET_SERVICES = 500;
    private static final int TARGET_ROUTES = 2_700;
    private static final int TARGET_TENANTS = 38_000;
    private static final int MAX_REQUESTS_PER_SECOND = 1_000;
    private static final int MAX_OPEN_REQUESTS = 256;

    private final List<ResourceKey> servers = new ArrayList<>();
    private final TreeMap<ResourceKey, Resource> state = new TreeMap<>();
    private long version;
    private int nextToChange;

    private VersionedFleet() {}

    /**
     * Generates a state with this many servers. Each resource has a version of its own, as if a
     * separate change had created it.
     */
    public static VersionedFleet generate(int servers, long seed) {
        VersionedFleet fleet = new VersionedFleet();
        SplittableRandom random = new SplittableRandom(seed);
        int services = scaled(TARGET_SERVICES, servers);
        for (int number = 0; number < services; number++) {
            fleet.put(
                    ResourceKind.SERVICE,
                    serviceName(number),
                    new ResourceValue.Service("service"));
        }
        for (DiscoveredEndpoint server :
                Fleet.generate(servers, seed, Loopback.UNUSED).fullList().endpoints()) {
            fleet.servers.add(
                    fleet.put(
                            ResourceKind.SERVER,
                            server.name(),
                            new ResourceValue.Server(
                                    serviceName(random.nextInt(services)), server)));
        }
        for (int number = 0; number < scaled(TARGET_ROUTES, servers); number++) {
            fleet.put(
                    ResourceKind.ROUTE,
                    "route-%04d".formatted(number),
                    new ResourceValue.Route(
                            serviceName(random.nextInt(services)),
                            "/api/%04d".formatted(number),
                            NodeConfiguration.className(0)));
        }
        for (int number = 0; number < scaled(TARGET_TENANTS, servers); number++) {
            fleet.put(ResourceKind.TENANT, "tenant-%05d".formatted(number), tenant(random));
        }
        return fleet;
    }

    private static ResourceValue tenant(SplittableRandom random) {
        return new ResourceValue.Tenant(
                1 + random.nextInt(MAX_REQUESTS_PER_SECOND),
                1 + random.nextInt(MAX_REQUESTS_PER_SECOND),
                1 + random.nextInt(MAX_OPEN_REQUESTS),
                1);
    }

    private static int scaled(int atTarget, int servers) {
        return Math.max(1, (int) Math.round(atTarget * (servers / (double) TARGET_SERVERS)));
    }

    private static String serviceName(int number) {
        return "service-%03d".formatted(number);
    }

    private ResourceKey put(ResourceKind kind, String name, ResourceValue value) {
        ResourceKey key = new ResourceKey(kind, name);
        state.put(key, new Resource(key, ++version, value));
        return key;
    }

    /** Returns the position of the newest change in the log. */
    public LogPosition position() {
        return new LogPosition(LOG, version);
    }

    /** Returns all resources, sorted by key. */
    public List<Resource> resources() {
        return List.copyOf(state.values());
    }

    /**
     * Makes the next change and returns it: one server starts to drain or returns to service. The
     * servers take turns.
     */
    public Change change() {
        ResourceKey key = servers.get(nextToChange);
        ResourceValue.Server before = (ResourceValue.Server) state.get(key).value();
        DiscoveredEndpoint server = before.endpoint();
        EndpointState next =
                server.state() == EndpointState.UP ? EndpointState.DRAINING : EndpointState.UP;
        ResourceValue after =
                new ResourceValue.Server(
                        before.service(),
                        new DiscoveredEndpoint(
                                server.name(),
                                server.address(),
                                server.zone(),
                                server.kind(),
                                server.cell(),
                                next,
                                server.weight(),
                                server.startedAtMs()));
        put(key.kind(), key.name(), after);
        if (next == EndpointState.UP) {
            nextToChange = (nextToChange + 1) % servers.size();
        }
        return new Change(version, List.of(new Change.Put(key, after)), List.of());
    }

    /** Makes the next change and returns a page with only this change. */
    public ChangePage changePage() {
        Change change = change();
        return new ChangePage(position(), List.of(change));
    }

    /** Returns the state in snapshot pages of at most {@code maxResources} resources. */
    public List<SnapshotPage> pages(int maxResources) {
        List<SnapshotPage> pages = new ArrayList<>();
        List<Resource> page = new ArrayList<>();
        for (Map.Entry<ResourceKey, Resource> each : state.entrySet()) {
            if (page.size() == maxResources) {
                pages.add(
                        new SnapshotPage(
                                position(), List.copyOf(page), Optional.of(each.getKey())));
                page.clear();
            }
            page.add(each.getValue());
        }
        pages.add(new SnapshotPage(position(), List.copyOf(page), Optional.empty()));
        return pages;
    }
}
