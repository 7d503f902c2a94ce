// SPDX-License-Identifier: Apache-2.0
package ottergauge;

import java.util.List;
import ottergauge.DecisionApi.Discovery;
import ottergauge.DecisionApi.Group;
import ottergauge.DecisionApi.Limits;
import ottergauge.DecisionApi.Prices;
import ottergauge.DecisionApi.Repeat;
import ottergauge.DecisionApi.RequestClass;
import ottergauge.DecisionApi.Rules;
import ottergauge.DecisionApi.Settings;

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
    List<RequestClass> classes = List.of(type(Repeat.SAFE, Group.ALL));
    Discovery discovery = Discovery.PUSHED;

    /** Answers tell loads, and a probe costs more than it is worth. */
    static TestSettings hearing(int nodes) {
        TestSettings settings = new TestSettings();
        settings.probes = true;
        settings.probePrice = 0.08;
        settings.nodes = nodes;
        return settings;
    }

    static RequestClass type(Repeat repeat, Group group) {
        return type("work", repeat, group, 1);
    }

    static RequestClass type(String name, Repeat repeat, Group group, double worth) {
        return new RequestClass(
                name, repeat, group, 1_000_000, 2_000_000, 800_000, worth, 0, false);
    }

    Settings build() {
        return new Settings(
                node,
                nodes,
                0,
                round,
                discovery,
                probes,
                repeatsMarked,
                warmKeys,
                new Limits(probes, true, true, maxAttempts, 600_000),
                new Rules(5_000, 500_000, 0.2, 10_000_000, 3, 1_000_000),
                new Prices(probePrice, connectionPrice),
                classes);
    }
}
