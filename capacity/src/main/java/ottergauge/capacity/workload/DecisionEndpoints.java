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

/** A generated fleet in the form that the decision engine takes, and incremental updates of it. */
public final class DecisionEndpoints {

    private final List<Endpoint> servers;
    private int nextToChange;

    private DecisionEndpoints(List<Endpoint> servers) {
        this.servers = servers;
    }

    /**
     * Generates a fleet. The engine sorts servers by id, and ids in production are hashes, so the
     * ids are uniformly distributed.
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

    /** Returns the full list, as discovery sends it in response to the first poll. */
    public EndpointUpdate fullList() {
        return new EndpointUpdate(UpdateScope.FULL, List.copyOf(servers));
    }

    /**
     * Makes the next change and returns it as an incremental update: one server starts to drain or
     * returns to service. The servers take turns.
     */
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
