// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import java.util.List;
import ottergauge.decision.api.Costs;
import ottergauge.decision.api.DecisionSettings;
import ottergauge.decision.api.DeduplicationScope;
import ottergauge.decision.api.DiscoveryMode;
import ottergauge.decision.api.Idempotency;
import ottergauge.decision.api.RequestClass;
import ottergauge.decision.api.RequestLimits;
import ottergauge.decision.api.ServiceRules;

/**
 * Builds settings. The defaults are a deployment without load probes or load reports and with one
 * idempotent request class.
 */
final class TestSettings {
    boolean probes;
    double probeCost = 0.002;
    boolean retriesMarked = true;
    boolean cacheAffinity;
    int node;
    int nodes = 1;
    long eventInterval = 1_000;
    double connectionCost;
    int maxAttempts = 5;
    List<RequestClass> classes =
            List.of(newRequestClass(Idempotency.IDEMPOTENT, DeduplicationScope.FLEET));
    DiscoveryMode discoveryMode = DiscoveryMode.PUSH;

    /** Responses carry load reports, and load probes are too expensive to be used. */
    static TestSettings withPassiveReports(int nodes) {
        TestSettings settings = new TestSettings();
        settings.probes = true;
        settings.probeCost = 0.08;
        settings.nodes = nodes;
        return settings;
    }

    static RequestClass newRequestClass(Idempotency idempotency, DeduplicationScope scope) {
        return newRequestClass("work", idempotency, scope, 1);
    }

    static RequestClass newRequestClass(
            String name, Idempotency idempotency, DeduplicationScope scope, double priorityWeight) {
        return new RequestClass(
                name, idempotency, scope, 1_000_000, 2_000_000, 800_000, priorityWeight, 0, false);
    }

    DecisionSettings build() {
        return new DecisionSettings(
                node,
                nodes,
                0,
                eventInterval,
                discoveryMode,
                probes,
                retriesMarked,
                cacheAffinity,
                new RequestLimits(probes, true, true, maxAttempts, 600_000),
                new ServiceRules(5_000, 500_000, 0.2, 10_000_000, 3, 1_000_000),
                new Costs(probeCost, connectionCost),
                classes);
    }
}
