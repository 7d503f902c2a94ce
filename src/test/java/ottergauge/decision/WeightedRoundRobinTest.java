// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.DecisionAction.SendAttempt;
import ottergauge.decision.api.DeduplicationScope;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.Idempotency;

/** The design's mechanism by worked example. */
class WeightedRoundRobinTest {
    private static final long MS = TestNode.MS;

    private final TestNode node = new TestNode(new TestSettings().build());

    private Map<Long, Integer> shares(TestNode on, int requests, long fast, long slow) {
        Map<Long, Integer> shares = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            String id = "r" + on.now + "-" + i;
            SendAttempt send = TestNode.only(SendAttempt.class, on.arrive(id));
            long elapsed = send.server() == 1 ? fast : slow;
            on.now += elapsed;
            on.ended(id, 0, send.server(), AttemptResult.SERVED, elapsed);
            shares.merge(send.server(), 1, Integer::sum);
        }
        return shares;
    }

    @Test
    void serversWithoutSamplesTakeEqualTurns() {
        node.servers(4);
        Map<Long, Integer> shares = shares(node, 40, MS, MS);
        assertEquals(Map.of(1L, 10, 2L, 10, 3L, 10, 4L, 10), shares);
    }

    @Test
    void theRotationIsSmooth() {
        node.servers(4);
        Set<Long> round = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            round.add(node.serve("r" + i, MS));
        }
        assertEquals(4, round.size());
    }

    @Test
    void theStartIsDrawnFromTheSeed() {
        Set<Long> first = new HashSet<>();
        for (long seed = 0; seed < 20; seed++) {
            TestNode other = new TestNode(new TestSettings().build(), seed);
            other.servers(4);
            first.add(TestNode.only(SendAttempt.class, other.arrive("r")).server());
        }
        assertTrue(first.size() > 2, "starts at " + first);
    }

    @Test
    void weightsAreInverseToTheMeansOfTheWindow() {
        node.servers(2);
        shares(node, 100, 20 * MS, 60 * MS);
        node.after(5_000 * MS);
        // Means of 20 and 60 ms: raw weights 3 and 1, of 1000 in all 750 and 250.
        Map<Long, Integer> shares = shares(node, 40, 20 * MS, 60 * MS);
        assertEquals(Map.of(1L, 30, 2L, 10), shares);
    }

    @Test
    void aWeightIsAtLeastOne() {
        node.servers(2);
        shares(node, 10, 50, 100 * MS);
        node.after(5_000 * MS);
        // One to 2000: the floor of the slow server's share is nought, its weight one of 1000.
        Map<Long, Integer> shares = shares(node, 6000, 50, 100 * MS);
        assertTrue(shares.get(2L) >= 3, "the slow server still takes turns: " + shares);
    }

    @Test
    void aServerWithoutSamplesStartsAtTheOthersMean() {
        node.servers(2);
        shares(node, 60, 50 * MS, 50 * MS);
        node.after(5_000 * MS);
        node.change(3, EndpointState.UP, 0);
        assertEquals(Map.of(1L, 10, 2L, 10, 3L, 10), shares(node, 30, 50 * MS, 50 * MS));
    }

    @Test
    void eachClassHasItsOwnRowAndBorrowsTheSharedOneUntilItHasSamples() {
        TestSettings settings = new TestSettings();
        settings.classes =
                List.of(
                        TestSettings.type("a", Idempotency.IDEMPOTENT, DeduplicationScope.FLEET, 1),
                        TestSettings.type(
                                "b", Idempotency.IDEMPOTENT, DeduplicationScope.FLEET, 1));
        TestNode two = new TestNode(settings.build());
        two.servers(2);
        shares(two, 100, 20 * MS, 60 * MS);
        two.after(5_000 * MS);
        int onFast = 0;
        for (int i = 0; i < 40; i++) {
            String id = "b" + i;
            SendAttempt send =
                    TestNode.only(
                            SendAttempt.class, two.arrive(id, 1, two.now + 2_000 * MS, false));
            onFast += send.server() == 1 ? 1 : 0;
            // In class b it is server 2 that is fast.
            long elapsed = send.server() == 1 ? 6 * MS : 2 * MS;
            two.now += elapsed;
            two.ended(id, 0, send.server(), AttemptResult.SERVED, elapsed);
        }
        assertEquals(30, onFast, "the shared row, 750 to 250");
        two.after(5_000 * MS);
        int later = 0;
        for (int i = 0; i < 40; i++) {
            String id = "c" + i;
            SendAttempt send =
                    TestNode.only(
                            SendAttempt.class, two.arrive(id, 1, two.now + 2_000 * MS, false));
            later += send.server() == 1 ? 1 : 0;
            two.now += MS;
            two.ended(id, 0, send.server(), AttemptResult.SERVED, MS);
        }
        assertEquals(10, later, "the class's own row, 250 to 750");
    }

    @Test
    void aServerWithFarMoreInFlightThanTheMeanIsSkipped() {
        node.servers(4);
        for (int round = 0; round < 60; round++) {
            for (int i = 0; i < 24; i++) {
                node.arrive("warm" + round + "-" + i);
            }
            node.now += 20 * MS;
            for (int i = 0; i < node.all.size(); i++) {
                if (node.all.get(i) instanceof SendAttempt s && s.id().startsWith("warm")) {
                    node.ended(s.id(), 0, s.server(), AttemptResult.SERVED, 20 * MS);
                }
            }
            node.all.clear();
        }
        // Every server answers at once but the one that keeps everything.
        long stuck = TestNode.only(SendAttempt.class, node.arrive("stuck0")).server();
        int onStuck = 1;
        for (int i = 0; i < 40; i++) {
            String id = "next" + i;
            SendAttempt send = TestNode.only(SendAttempt.class, node.arrive(id));
            if (send.server() == stuck) {
                onStuck++;
            } else {
                node.ended(id, 0, send.server(), AttemptResult.SERVED, MS);
            }
        }
        assertTrue(onStuck <= 3, "sent to the full server: " + onStuck);
        assertNotEquals(0, onStuck);
    }
}
