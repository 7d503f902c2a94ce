// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.endpoints;

import java.util.ArrayList;
import java.util.List;
import ottergauge.decision.api.DecisionEvent.EndpointUpdate;
import ottergauge.decision.api.Endpoint;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.UpdateScope;
import ottergauge.decision.balancing.ServerSubset;
import ottergauge.decision.health.OutlierDetector;
import ottergauge.decision.load.ProbeTracker;
import ottergauge.decision.model.Instants;
import ottergauge.decision.model.Server;
import ottergauge.decision.model.SlowStartState;
import ottergauge.decision.ring.ConsistentHashRing;

/**
 * Applies endpoint updates to the ring of servers. The cost of an incremental update is
 * proportional to the number of its endpoints and the logarithm of the number of listed servers.
 */
public final class EndpointUpdater {

    private static final double MIN_SIZE = 0.01;

    private final ConsistentHashRing<Server> ring;
    private final ServerSubset subset;
    private final OutlierDetector outliers;
    private final ProbeTracker probes;

    /** Creates an updater of a ring and of the parts that depend on its servers. */
    public EndpointUpdater(
            ConsistentHashRing<Server> ring,
            ServerSubset subset,
            OutlierDetector outliers,
            ProbeTracker probes) {
        this.ring = ring;
        this.subset = subset;
        this.outliers = outliers;
        this.probes = probes;
    }

    /** Applies an update and recomputes the subset. */
    public void apply(EndpointUpdate update, long now) {
        boolean complete = update.scope() != UpdateScope.INCREMENTAL;
        List<Server> affected = complete ? ring.first(ring.count()) : new ArrayList<>();
        for (Server server : affected) {
            server.markRemoved();
        }
        for (Endpoint endpoint : update.endpoints()) {
            affected.add(apply(endpoint));
        }
        // Servers are removed only after all endpoints have been applied, because the last one
        // counts if the update contains several endpoints with the same id.
        for (Server server : affected) {
            if (server.state() == EndpointState.REMOVED) {
                ring.remove(server.id());
                outliers.remove(server);
            }
        }
        subset.choose(now);
    }

    private Server apply(Endpoint endpoint) {
        Server known = ring.get(endpoint.id());
        Server server = known == null ? add(endpoint) : known;
        if (endpoint.zone() != server.endpoint().zone()) {
            // The zone numbers have changed.
            probes.forgetRoundTrips();
        }
        if (known == null || endpoint.startedAt() > server.endpoint().startedAt()) {
            restart(server, endpoint);
        }
        server.setEndpoint(endpoint);
        return server;
    }

    private Server add(Endpoint endpoint) {
        Server server = new Server(endpoint);
        // The ring keeps the weight with which the server was first listed. If the sizes followed
        // weights that change with the load, the arcs of all other servers would move.
        ring.put(server.id(), Math.max(MIN_SIZE, endpoint.nominalWeight()), server);
        return server;
    }

    private void restart(Server server, Endpoint endpoint) {
        SlowStartState slowStart = server.slowStart();
        long startedAt = endpoint.startedAt() > 0 ? endpoint.startedAt() : Instants.NEVER;
        slowStart.restart(Math.max(slowStart.startedAt(), startedAt));
        server.forgetRelativeServiceTime();
        outliers.reset(server);
    }
}
