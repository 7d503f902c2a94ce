// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import ottergauge.decision.api.DeduplicationScope;
import ottergauge.decision.api.DiscoveryMode;
import ottergauge.decision.api.Idempotency;

/**
 * Checks four rules as invariants over random histories with fixed seeds: rules on final responses,
 * on repeated attempts, on draining servers and on servers in slow start. {@link History} checks
 * every action.
 */
class HistoryTest {

    private static TestSettings allIdempotencyKinds() {
        TestSettings settings = new TestSettings();
        settings.classes =
                List.of(
                        TestSettings.newRequestClass(
                                "safe", Idempotency.IDEMPOTENT, DeduplicationScope.FLEET, 1),
                        TestSettings.newRequestClass(
                                "keyed-all", Idempotency.KEYED, DeduplicationScope.FLEET, 2),
                        TestSettings.newRequestClass(
                                "keyed-zone", Idempotency.KEYED, DeduplicationScope.ZONE, 3),
                        TestSettings.newRequestClass(
                                "keyed-cell", Idempotency.KEYED, DeduplicationScope.CELL, 4),
                        TestSettings.newRequestClass(
                                "unsafe", Idempotency.NON_IDEMPOTENT, DeduplicationScope.FLEET, 5));
        settings.nodes = 3;
        return settings;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void theRulesHoldWithoutProbes(long seed) {
        TestSettings settings = allIdempotencyKinds();
        // The simulated servers serve only this node. The rate at which they serve its requests is
        // therefore their capacity, and the slow-start budget must not be divided among more nodes.
        settings.nodes = 1;
        History history = new History(settings, seed);
        history.run(1500);
        assertTrue(history.sends > 500, "sends " + history.sends);
        assertTrue(history.finalResponses > 50, "final responses " + history.finalResponses);
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18})
    void theRulesHoldWithProbesAndUnmarkedClientRetries(long seed) {
        TestSettings settings = allIdempotencyKinds();
        settings.probes = true;
        settings.retriesMarked = false;
        settings.discoveryMode = DiscoveryMode.POLL;
        History history = new History(settings, seed);
        history.run(1500);
        assertTrue(history.sends > 500, "sends " + history.sends);
        assertTrue(history.retries > 0, "no request was retried");
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24, 25, 26, 27, 28})
    void theRulesHoldWithPassiveLoadReports(long seed) {
        TestSettings settings = allIdempotencyKinds();
        settings.probes = true;
        settings.probeCost = 0.08;
        settings.retriesMarked = false;
        History history = new History(settings, seed);
        history.run(1500);
        assertTrue(history.sends > 500, "sends " + history.sends);
        assertTrue(history.finalResponses > 50, "final responses " + history.finalResponses);
    }

    @Test
    void theSameEventsGiveTheSameActions() {
        History one = new History(allIdempotencyKinds(), 5);
        History two = new History(allIdempotencyKinds(), 5);
        one.run(500);
        two.run(500);
        assertEquals(one.node.allActions, two.node.allActions);
    }
}
