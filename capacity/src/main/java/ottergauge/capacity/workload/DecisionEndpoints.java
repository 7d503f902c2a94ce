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
public final class DecisionEndpoints {

    private final List<Endpoint> servers;
    private int nextToChange;

    private DecisionEndpoints(List<Endpoint> servers) {
        this.servers = servers;
    }

    /**
     * Draws a fleet; the module sorts by the servers' numbers, which are drawn as evenly as hashes
     * are.
     */
    public static DecisionEndpoints generate(int servers, long seed) {
        SplittableRandom ids = new SplittableRandom(~seed);
        List<Endpoint> generated = new ArrayList<>(servers);
        for (DiscoveredEndpoint server :
                Fleet.generate(servers, seed, Loopback.UNUSED).fullList().endpoints()) {
            generated.add(
                    new Endpoint(
                            ids.nextLong(),
                            Fleet.ZONES.indexOf(server.zone()),
                            Fleet.KINDS.indexOf(server.kind()),
                            server.cell(),
                            server.state(),
                            server.weight(),
                            server.startedAtMs() * 1000));
        }
        return new DecisionEndpoints(generated);
    }

    /** The whole list, as discovery's answer to a first call brings it. */
    public EndpointUpdate fullList() {
        return new EndpointUpdate(UpdateScope.FULL, List.copyOf(servers));
    }

    /** The next change: one server begins to drain, or is in service again; each in turn. */
    public EndpointUpdate change() {
        Endpoint before = servers.get(nextToChange);
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
        servers.set(nextToChange, after);
        if (after.state() == EndpointState.UP) {
            nextToChange = (nextToChange + 1) % servers.size();
        }
        return new EndpointUpdate(UpdateScope.INCREMENTAL, List.of(after));
    }
}
