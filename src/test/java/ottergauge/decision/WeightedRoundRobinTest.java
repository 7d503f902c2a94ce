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

/** Tests the weighted round-robin by worked examples. */
class WeightedRoundRobinTest {
    private static final long MS = TestNode.MS;

    private final TestNode node = new TestNode(new TestSettings().build());

    private Map<Long, Integer> shares(TestNode on, int requests, long fast, long slow) {
        Map<Long, Integer> shares = new HashMap<>();
        for (int i = 0; i < requests; i++) {
            String id = "r" + on.now + "-" + i;
            SendAttempt send = TestNode.onlyOfType(SendAttempt.class, on.arrive(id));
            long elapsed = send.server() == 1 ? fast : slow;
            on.now += elapsed;
            on.endAttempt(id, 0, send.server(), AttemptResult.SERVED, elapsed);
            shares.merge(send.server(), 1, Integer::sum);
        }
        return shares;
    }

    @Test
    void serversWithoutSamplesGetEqualShares() {
        node.servers(4);
        Map<Long, Integer> shares = shares(node, 40, MS, MS);
        assertEquals(Map.of(1L, 10, 2L, 10, 3L, 10, 4L, 10), shares);
    }

    @Test
    void theRoundRobinIsSmooth() {
        node.servers(4);
        Set<Long> round = new HashSet<>();
        for (int i = 0; i < 4; i++) {
            round.add(node.serve("r" + i, MS));
        }
        assertEquals(4, round.size());
    }

    @Test
    void theFirstServerDependsOnTheSeed() {
        Set<Long> first = new HashSet<>();
        for (long seed = 0; seed < 20; seed++) {
            TestNode other = new TestNode(new TestSettings().build(), seed);
            other.servers(4);
            first.add(TestNode.onlyOfType(SendAttempt.class, other.arrive("r")).server());
        }
        assertTrue(first.size() > 2, "starts at " + first);
    }

    @Test
    void weightsAreInverseToTheMeanLatenciesOfTheWindow() {
        node.servers(2);
        shares(node, 100, 20 * MS, 60 * MS);
        node.after(5_000 * MS);
        // The means are 20 and 60 ms. The ratio of the weights is 3 to 1, and of a total of 1000
        // they get 750 and 250.
        Map<Long, Integer> shares = shares(node, 40, 20 * MS, 60 * MS);
        assertEquals(Map.of(1L, 30, 2L, 10), shares);
    }

    @Test
    void aWeightIsAtLeastOne() {
        node.servers(2);
        shares(node, 10, 50, 100 * MS);
        node.after(5_000 * MS);
        // The latencies are 1 to 2000. The slow server's share rounds down to 0, so its weight is 1
        // of 1000.
        Map<Long, Integer> shares = shares(node, 6000, 50, 100 * MS);
        assertTrue(shares.get(2L) >= 3, "the slow server should still get requests: " + shares);
    }

    @Test
    void aServerWithoutSamplesStartsWithTheMeanOfTheOthers() {
        node.servers(2);
        shares(node, 60, 50 * MS, 50 * MS);
        node.after(5_000 * MS);
        node.updateServer(3, EndpointState.UP, 0);
        assertEquals(Map.of(1L, 10, 2L, 10, 3L, 10), shares(node, 30, 50 * MS, 50 * MS));
    }

    @Test
    void eachClassUsesTheSharedRowUntilItsOwnRowHasSamples() {
        TestSettings settings = new TestSettings();
        settings.classes =
                List.of(
                        TestSettings.newRequestClass(
                                "a", Idempotency.IDEMPOTENT, DeduplicationScope.FLEET, 1),
                        TestSettings.newRequestClass(
                                "b", Idempotency.IDEMPOTENT, DeduplicationScope.FLEET, 1));
        TestNode two = new TestNode(settings.build());
        two.servers(2);
        shares(two, 100, 20 * MS, 60 * MS);
        two.after(5_000 * MS);
        int onFast = 0;
        for (int i = 0; i < 40; i++) {
            String id = "b" + i;
            SendAttempt send =
                    TestNode.onlyOfType(
                            SendAttempt.class, two.arrive(id, 1, two.now + 2_000 * MS, false));
            onFast += send.server() == 1 ? 1 : 0;
            // In class b server 2 is the fast one.
            long elapsed = send.server() == 1 ? 6 * MS : 2 * MS;
            two.now += elapsed;
            two.endAttempt(id, 0, send.server(), AttemptResult.SERVED, elapsed);
        }
        assertEquals(30, onFast, "the shared row, 750 to 250");
        two.after(5_000 * MS);
        int later = 0;
        for (int i = 0; i < 40; i++) {
            String id = "c" + i;
            SendAttempt send =
                    TestNode.onlyOfType(
                            SendAttempt.class, two.arrive(id, 1, two.now + 2_000 * MS, false));
            later += send.server() == 1 ? 1 : 0;
            two.now += MS;
            two.endAttempt(id, 0, send.server(), AttemptResult.SERVED, MS);
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
            for (int i = 0; i < node.allActions.size(); i++) {
                if (node.allActions.get(i) instanceof SendAttempt s && s.id().startsWith("warm")) {
                    node.endAttempt(s.id(), 0, s.server(), AttemptResult.SERVED, 20 * MS);
                }
            }
            node.allActions.clear();
        }
        // All servers respond immediately except one, which never responds.
        long stuck = TestNode.onlyOfType(SendAttempt.class, node.arrive("stuck0")).server();
        int onStuck = 1;
        for (int i = 0; i < 40; i++) {
            String id = "next" + i;
            SendAttempt send = TestNode.onlyOfType(SendAttempt.class, node.arrive(id));
            if (send.server() == stuck) {
                onStuck++;
            } else {
                node.endAttempt(id, 0, send.server(), AttemptResult.SERVED, MS);
            }
        }
        assertTrue(onStuck <= 3, "sent to the full server: " + onStuck);
        assertNotEquals(0, onStuck);
    }
}
