// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import ottergauge.decision.api.DecisionEvent;
import ottergauge.decision.api.DecisionEvent.EndpointUpdate;
import ottergauge.decision.api.DecisionEvent.SettingsChanged;
import ottergauge.decision.api.UpdateScope;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.NodeSettings;
import ottergauge.routing.Effect.CacheEndpoints;

/**
 * The effective endpoints. Updates come from discovery, the change log and operators, and are
 * applied to the upstream connection pool and the decision module. Settings are also passed to the
 * decision module here, since they take effect together with the endpoints.
 */
final class EffectiveEndpoints {

    private final DiscoveryWatch watch;
    private final EndpointRegistry registry;
    private final UpstreamPool upstreams;
    private final boolean cachesEndpoints;
    private final Consumer<DecisionEvent> decisionEvents;
    private final Consumer<Attempt> withdrawn;
    private final Consumer<Effect> effects;
    private EndpointSnapshotMapper mapper;

    /**
     * Creates effective endpoints that have not started.
     *
     * @param withdrawn receives the attempts that waited for a server that no longer accepts
     *     requests. The decision module receives the update first, since it would otherwise choose
     *     that server again
     */
    EffectiveEndpoints(
            NodeConfig config,
            UpstreamPool upstreams,
            Consumer<DecisionEvent> decisionEvents,
            Consumer<Attempt> withdrawn,
            Consumer<Effect> effects) {
        this.upstreams = upstreams;
        this.decisionEvents = decisionEvents;
        this.withdrawn = withdrawn;
        this.effects = effects;
        // Hot restarts need the admin listener; without it no other process reads the cache.
        cachesEndpoints = config.admin().isPresent();
        watch = new DiscoveryWatch(config, effects);
        registry = new EndpointRegistry(config.settings().decisions().rules().slowStartDuration());
        mapper = new EndpointSnapshotMapper(config.settings());
    }

    DiscoveryWatch watch() {
        return watch;
    }

    EndpointRegistry registry() {
        return registry;
    }

    /** Starts with the last known endpoints. */
    void start(long now, EndpointList known) {
        EndpointList list = registry.apply(now, known);
        upstreams.apply(list);
        decisionEvents.accept(mapper.map(list, UpdateScope.LAST_KNOWN));
    }

    /** Discovery has answered a poll. */
    void received(long now, long poll, EndpointList answer) {
        if (!watch.accepts(poll, answer)) {
            watch.answerIgnored(now, poll, answer);
            return;
        }
        EndpointList list = registry.apply(now, answer);
        List<Attempt> waiting = upstreams.apply(list);
        Optional<UpdateScope> scope = watch.answerAccepted(now, poll, list);
        if (scope.isPresent()) {
            decisionEvents.accept(mapper.map(list, scope.get()));
            cache();
        }
        waiting.forEach(withdrawn);
    }

    /** An operator has changed which endpoints are in maintenance. */
    void applyMaintenance(EndpointList changes) {
        if (!changes.endpoints().isEmpty()) {
            List<Attempt> waiting = upstreams.apply(changes);
            decisionEvents.accept(mapper.map(changes, UpdateScope.INCREMENTAL));
            waiting.forEach(withdrawn);
            cache();
        }
    }

    /** Applies other settings; the endpoints stay the same. */
    void apply(long now, NodeSettings settings) {
        apply(now, new EndpointList(registry.version(), false, List.of()), Optional.of(settings));
    }

    /** Applies an update of the endpoints, together with other settings if there are any. */
    void apply(long now, EndpointList update, Optional<NodeSettings> settings) {
        EndpointList list = registry.apply(now, update);
        List<Attempt> waiting = upstreams.apply(list);
        EndpointUpdate change =
                mapper.map(list, list.complete() ? UpdateScope.FULL : UpdateScope.INCREMENTAL);
        if (settings.isPresent()) {
            NodeSettings next = settings.get();
            decisionEvents.accept(
                    new SettingsChanged(next.decisions(), applySettings(next, change)));
        } else {
            decisionEvents.accept(change);
        }
        waiting.forEach(withdrawn);
        if (list.complete() || !list.endpoints().isEmpty()) {
            cache();
        }
    }

    // If the indices of zones or kinds have changed, the decision module receives all endpoints
    // again.
    private EndpointUpdate applySettings(NodeSettings settings, EndpointUpdate change) {
        registry.setSlowStartDuration(settings.decisions().rules().slowStartDuration());
        watch.setMaxPollInterval(settings.maxPollInterval());
        if (mapper.hasSameIndices(settings)) {
            return change;
        }
        mapper = new EndpointSnapshotMapper(settings);
        return mapper.map(registry.effective(), UpdateScope.FULL);
    }

    private void cache() {
        if (cachesEndpoints) {
            effects.accept(new CacheEndpoints(registry.snapshot()));
        }
    }
}
