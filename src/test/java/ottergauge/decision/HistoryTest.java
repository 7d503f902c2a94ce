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
 * The four rules as invariants over seeded random histories; {@link History} checks every action.
 */
class HistoryTest {

    private static TestSettings mixed() {
        TestSettings settings = new TestSettings();
        settings.classes =
                List.of(
                        TestSettings.type(
                                "safe", Idempotency.IDEMPOTENT, DeduplicationScope.FLEET, 1),
                        TestSettings.type(
                                "keyed-all", Idempotency.KEYED, DeduplicationScope.FLEET, 2),
                        TestSettings.type(
                                "keyed-zone", Idempotency.KEYED, DeduplicationScope.ZONE, 3),
                        TestSettings.type(
                                "keyed-cell", Idempotency.KEYED, DeduplicationScope.CELL, 4),
                        TestSettings.type(
                                "unsafe", Idempotency.NON_IDEMPOTENT, DeduplicationScope.FLEET, 5));
        settings.nodes = 3;
        return settings;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void theRulesHoldWithoutProbes(long seed) {
        TestSettings settings = mixed();
        // Made-up servers serve all that comes: what this node had served is what a server does for
        // it.
        settings.nodes = 1;
        History history = new History(settings, seed);
        history.run(1500);
        assertTrue(history.sends > 500, "sends " + history.sends);
        assertTrue(history.finals > 50, "finals " + history.finals);
    }

    @ParameterizedTest
    @ValueSource(longs = {11, 12, 13, 14, 15, 16, 17, 18})
    void theRulesHoldWithProbesAndUnmarkedRepeats(long seed) {
        TestSettings settings = mixed();
        settings.probes = true;
        settings.repeatsMarked = false;
        settings.discovery = DiscoveryMode.POLL;
        History history = new History(settings, seed);
        history.run(1500);
        assertTrue(history.sends > 500, "sends " + history.sends);
        assertTrue(history.again > 0, "no further attempt was made");
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22, 23, 24, 25, 26, 27, 28})
    void theRulesHoldWhereLoadsAreHeard(long seed) {
        TestSettings settings = mixed();
        settings.probes = true;
        settings.probePrice = 0.08;
        settings.repeatsMarked = false;
        History history = new History(settings, seed);
        history.run(1500);
        assertTrue(history.sends > 500, "sends " + history.sends);
        assertTrue(history.finals > 50, "finals " + history.finals);
    }

    @Test
    void theSameEventsGiveTheSameActions() {
        History one = new History(mixed(), 5);
        History two = new History(mixed(), 5);
        one.run(500);
        two.run(500);
        assertEquals(one.node.all, two.node.all);
    }
}
