// SPDX-License-Identifier: Apache-2.0
package ottergauge.capacity.workload;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import ottergauge.decision.api.DecisionEvent.EndpointUpdate;
import ottergauge.decision.api.Endpoint;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.UpdateScope;
import ottergauge.protocol.DiscoveredEndpoint;

/** A fleet in the form in which the decision module is told of it, with changes made in turn. */
public final class ListedServers {

    private final List<Endpoint> servers;
    private int nextChanged;

    private ListedServers(List<Endpoint> servers) {
        this.servers = servers;
    }

    /**
     * Draws a fleet; the module sorts by the servers' numbers, which are drawn as evenly as hashes
     * are.
     */
    public static ListedServers draw(int servers, long seed) {
        SplittableRandom numbers = new SplittableRandom(~seed);
        List<Endpoint> listed = new ArrayList<>(servers);
        for (DiscoveredEndpoint host :
                Fleet.draw(servers, seed, Loopback.UNUSED).whole().endpoints()) {
            listed.add(
                    new Endpoint(
                            numbers.nextLong(),
                            Fleet.ZONES.indexOf(host.zone()),
                            Fleet.KINDS.indexOf(host.kind()),
                            host.cell(),
                            host.state(),
                            host.weight(),
                            host.startedAtMs() * 1000));
        }
        return new ListedServers(listed);
    }

    /** The whole list, as discovery's answer to a first call brings it. */
    public EndpointUpdate whole() {
        return new EndpointUpdate(UpdateScope.FULL, List.copyOf(servers));
    }

    /** The next change: one server begins to drain, or is in service again; each in turn. */
    public EndpointUpdate change() {
        Endpoint before = servers.get(nextChanged);
        Endpoint after =
                new Endpoint(
                        before.id(),
                        before.zone(),
                        before.kind(),
                        before.cell(),
                        before.state() == EndpointState.UP
                                ? EndpointState.DRAINING
                                : EndpointState.UP,
                        before.nominalWeight(),
                        before.startedAt());
        servers.set(nextChanged, after);
        if (after.state() == EndpointState.UP) {
            nextChanged = (nextChanged + 1) % servers.size();
        }
        return new EndpointUpdate(UpdateScope.INCREMENTAL, List.of(after));
    }
}
