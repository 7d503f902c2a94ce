// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.Optional;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.NodeSettings;
import ottergauge.resources.LogPosition;

/**
 * The effective settings: those most recently read from the configuration file, until the change
 * log provides settings. Requests that were accepted before a change keep their class, deadline and
 * limits.
 */
final class EffectiveSettings {

    private final EffectiveEndpoints endpoints;
    private final UpstreamPool upstreams;
    private final Metrics metrics;
    private final int nodeIndex;
    private NodeSettings current;
    private RequestClasses classes;
    private Optional<LogPosition> version = Optional.empty();

    EffectiveSettings(
            NodeConfig config,
            EffectiveEndpoints endpoints,
            UpstreamPool upstreams,
            Metrics metrics) {
        this.endpoints = endpoints;
        this.upstreams = upstreams;
        this.metrics = metrics;
        current = config.settings();
        nodeIndex = current.decisions().nodeIndex();
        classes = new RequestClasses(current.decisions().requestClasses());
    }

    NodeSettings current() {
        return current;
    }

    RequestClasses classes() {
        return classes;
    }

    /** The effective version of the change log; empty before the first. */
    Optional<LogPosition> version() {
        return version;
    }

    /**
     * The configuration file was read again. Its settings are ignored once a version of the change
     * log is effective.
     */
    void reconfigure(long now, NodeSettings next) {
        if (version.isEmpty() && !next.equals(current)) {
            endpoints.apply(now, replace(next));
        }
    }

    /** Applies a version of the change log. Endpoints and settings take effect at the same time. */
    void changeState(long now, Event.StateChanged change) {
        version = Optional.of(change.version());
        metrics.stateReached(change.version());
        endpoints.watch().end();
        // Settings that all nodes share don't contain this node's index.
        Optional<NodeSettings> next =
                change.settings().map(shared -> replace(shared.forNode(nodeIndex)));
        endpoints.apply(now, change.endpoints(), next);
    }

    private NodeSettings replace(NodeSettings next) {
        current = next;
        classes = new RequestClasses(next.decisions().requestClasses());
        metrics.setClasses(next.decisions().requestClasses());
        upstreams.setTimeouts(next.connectTimeout(), next.serverIdleTimeout());
        return next;
    }
}
