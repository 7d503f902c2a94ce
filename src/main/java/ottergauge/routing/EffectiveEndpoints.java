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
 * The list of servers in force: discovery, the log of changes and operators tell what changes of
 * it, and the connections to servers and the decisions follow. Settings pass through here on their
 * way to the decisions, since they come in force together with the list.
 */
final class EffectiveEndpoints {

    private final DiscoveryWatch watch;
    private final EndpointRegistry roster;
    private final UpstreamPool upstreams;
    private final boolean keeps;
    private final Consumer<DecisionEvent> learn;
    private final Consumer<Attempt> withdraw;
    private final Consumer<Effect> effects;
    private EndpointSnapshotMapper lists;

    /**
     * {@code learn} takes what the decisions have to know, {@code withdraw} the jobs that waited
     * for a server which takes nothing new any more: after the list, or the decisions would choose
     * that server again.
     */
    EffectiveEndpoints(
            NodeConfig config,
            UpstreamPool upstreams,
            Consumer<DecisionEvent> learn,
            Consumer<Attempt> withdraw,
            Consumer<Effect> effects) {
        this.upstreams = upstreams;
        this.learn = learn;
        this.withdraw = withdraw;
        this.effects = effects;
        // Only a node with a door has processes that follow each other.
        keeps = config.admin().isPresent();
        watch = new DiscoveryWatch(config, effects);
        roster = new EndpointRegistry(config.settings().decisions().rules().slowStartDuration());
        lists = new EndpointSnapshotMapper(config.settings());
    }

    DiscoveryWatch watch() {
        return watch;
    }

    EndpointRegistry roster() {
        return roster;
    }

    /** Begins with the list that the node had last. */
    void start(long now, EndpointList known) {
        EndpointList list = roster.follow(now, known);
        upstreams.follow(list);
        learn.accept(lists.list(list, UpdateScope.LAST_KNOWN));
    }

    /** Discovery has answered a call. */
    void read(long now, long call, EndpointList told) {
        if (!watch.takes(call, told)) {
            watch.passOver(now, call, told);
            return;
        }
        EndpointList list = roster.follow(now, told);
        List<Attempt> withdrawn = upstreams.follow(list);
        watch.read(now, call, list)
                .ifPresent(
                        scope -> {
                            learn.accept(lists.list(list, scope));
                            keep();
                        });
        withdrawn.forEach(withdraw);
    }

    /** A hand changes the list as discovery does. */
    void changedByHand(EndpointList changes) {
        if (!changes.endpoints().isEmpty()) {
            List<Attempt> withdrawn = upstreams.follow(changes);
            learn.accept(lists.list(changes, UpdateScope.INCREMENTAL));
            withdrawn.forEach(withdraw);
            keep();
        }
    }

    /** Other settings come in force, the list stays. */
    void takeOver(long now, NodeSettings settings) {
        takeOver(now, new EndpointList(roster.version(), false, List.of()), Optional.of(settings));
    }

    /**
     * A change of the list, or a whole one, comes in force, together with other settings if there
     * are.
     */
    void takeOver(long now, EndpointList told, Optional<NodeSettings> settings) {
        EndpointList list = roster.follow(now, told);
        List<Attempt> withdrawn = upstreams.follow(list);
        EndpointUpdate change =
                lists.list(list, list.complete() ? UpdateScope.FULL : UpdateScope.INCREMENTAL);
        if (settings.isPresent()) {
            learn.accept(
                    new SettingsChanged(
                            settings.get().decisions(), renumber(settings.get(), change)));
        } else {
            learn.accept(change);
        }
        withdrawn.forEach(withdraw);
        if (list.complete() || !list.endpoints().isEmpty()) {
            keep();
        }
    }

    // Under other numbers of zones or kinds all servers are told anew.
    private EndpointUpdate renumber(NodeSettings settings, EndpointUpdate change) {
        roster.coldFor(settings.decisions().rules().slowStartDuration());
        watch.askWithin(settings.maxPollInterval());
        if (lists.numberLike(settings)) {
            return change;
        }
        lists = new EndpointSnapshotMapper(settings);
        return lists.list(roster.inForce(), UpdateScope.FULL);
    }

    private void keep() {
        if (keeps) {
            effects.accept(new CacheEndpoints(roster.whole()));
        }
    }
}
