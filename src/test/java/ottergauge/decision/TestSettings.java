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

/** Builds settings; the defaults are a site without probes or reports and with one safe class. */
final class TestSettings {
    boolean probes;
    double probePrice = 0.002;
    boolean repeatsMarked = true;
    boolean warmKeys;
    int node;
    int nodes = 1;
    long round = 1_000;
    double connectionPrice;
    int maxAttempts = 5;
    List<RequestClass> classes = List.of(type(Idempotency.IDEMPOTENT, DeduplicationScope.FLEET));
    DiscoveryMode discovery = DiscoveryMode.PUSH;

    /** Answers tell loads, and a probe costs more than it is worth. */
    static TestSettings hearing(int nodes) {
        TestSettings settings = new TestSettings();
        settings.probes = true;
        settings.probePrice = 0.08;
        settings.nodes = nodes;
        return settings;
    }

    static RequestClass type(Idempotency repeat, DeduplicationScope group) {
        return type("work", repeat, group, 1);
    }

    static RequestClass type(
            String name, Idempotency repeat, DeduplicationScope group, double worth) {
        return new RequestClass(
                name, repeat, group, 1_000_000, 2_000_000, 800_000, worth, 0, false);
    }

    DecisionSettings build() {
        return new DecisionSettings(
                node,
                nodes,
                0,
                round,
                discovery,
                probes,
                repeatsMarked,
                warmKeys,
                new RequestLimits(probes, true, true, maxAttempts, 600_000),
                new ServiceRules(5_000, 500_000, 0.2, 10_000_000, 3, 1_000_000),
                new Costs(probePrice, connectionPrice),
                classes);
    }
}
