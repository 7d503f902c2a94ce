// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.statistics.Statistics;
import ottergauge.decision.api.DecisionEvent.EndpointUpdate;
import ottergauge.decision.api.Endpoint;
import ottergauge.decision.api.EndpointState;
import ottergauge.decision.api.UpdateScope;
import ottergauge.decision.ring.ReferenceRing;

/**
 * Compares the subset of a node with a simple reference computation that sorts all listed servers
 * in the order of the ring and looks up the node's points one by one. The subset is observed by the
 * servers that requests are sent to.
 */
class ServerSubsetTest {

    private static final double GOLDEN_RATIO = 0.6180339887498949;
    private static final int MAX_FREE_SIZE = 32;
    private static final int NODES_PER_SERVER = 12;
    private static final int MAX_POINTS_PER_SERVER = 4;

    /** An endpoint update, either incremental or full. */
    record Update(UpdateScope scope, List<Endpoint> servers) {}

    record History(int node, int nodes, List<Update> updates) {}

    @Provide
    Arbitrary<History> histories() {
        Arbitrary<Endpoint> servers =
                Combinators.combine(
                                Arbitraries.longs().between(1, 150),
                                Arbitraries.of(
                                        EndpointState.UP,
                                        EndpointState.UP,
                                        EndpointState.UP,
                                        EndpointState.DRAINING,
                                        EndpointState.REMOVED))
                        // The size of a server doesn't change between updates.
                        .as((id, state) -> new Endpoint(id, 0, 0, 0, state, size(id), 0));
        Arbitrary<Update> incrementalUpdates =
                servers.list().ofMaxSize(6).map(s -> new Update(UpdateScope.INCREMENTAL, s));
        Arbitrary<Update> fullUpdates =
                servers.list()
                        .ofMinSize(1)
                        .ofMaxSize(120)
                        .map(s -> new Update(UpdateScope.FULL, s));
        Arbitrary<Update> all =
                Arbitraries.frequencyOf(Tuple.of(6, incrementalUpdates), Tuple.of(1, fullUpdates));
        return Combinators.combine(
                        Arbitraries.integers().between(0, 299),
                        Arbitraries.integers().between(1, 300),
                        fullUpdates,
                        all.list().ofMaxSize(25))
                .as(
                        (node, nodes, first, then) -> {
                            List<Update> updates = new ArrayList<>();
                            updates.add(first);
                            updates.addAll(then);
                            return new History(node % nodes, nodes, updates);
                        });
    }

    private static double size(long id) {
        return (1 + id % 7) / 4.0;
    }

    private static TestNode node(History history) {
        TestSettings settings = new TestSettings();
        settings.node = history.node();
        settings.nodes = history.nodes();
        return new TestNode(settings.build());
    }

    /** Returns the listed servers by id after all updates. */
    private static Map<Long, Endpoint> listed(History history) {
        Map<Long, Endpoint> listed = new LinkedHashMap<>();
        for (Update update : history.updates()) {
            if (update.scope() == UpdateScope.FULL) {
                listed.clear();
            }
            update.servers().forEach(s -> listed.put(s.id(), s));
            listed.values().removeIf(s -> s.state() == EndpointState.REMOVED);
        }
        return listed;
    }

    private static Set<Long> referenceSubset(History history) {
        Map<Long, Endpoint> listed = listed(history);
        if (listed.isEmpty()) {
            return Set.of();
        }
        Map<Long, Double> sizes = new LinkedHashMap<>();
        listed.forEach((id, server) -> sizes.put(id, size(id)));
        ReferenceRing ring = new ReferenceRing(sizes);
        int count = listed.size();
        int size =
                (int)
                        Math.min(
                                MAX_FREE_SIZE,
                                NODES_PER_SERVER * Math.max(1, count / (double) history.nodes()));
        boolean all = size >= count;
        Set<Long> subset = new HashSet<>();
        for (int k = 0;
                subset.size() < size && k < (all ? count : MAX_POINTS_PER_SERVER * size);
                k++) {
            double point = ((history.node() + 0.5) / history.nodes() + k * GOLDEN_RATIO) % 1;
            long id = all ? ring.ids().get(k) : ring.at(point);
            if (listed.get(id).state() == EndpointState.UP) {
                subset.add(id);
            }
        }
        return subset;
    }

    private static void applyUpdate(TestNode node, Update update) {
        node.deliver(new EndpointUpdate(update.scope(), update.servers()));
    }

    /**
     * Returns the servers that sequential requests are sent to. Two rounds of the round-robin reach
     * every server of the subset.
     */
    private static Set<Long> used(TestNode node, int subset) {
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 2 * subset; i++) {
            used.add(node.serve("r" + i, 1));
        }
        return used;
    }

    @Property(tries = 300, seed = "71")
    void theSubsetEqualsTheReferenceComputation(@ForAll("histories") History history) {
        TestNode node = node(history);
        history.updates().forEach(update -> applyUpdate(node, update));
        Set<Long> expected = referenceSubset(history);
        assertEquals(expected, used(node, expected.size()));
    }

    @Property(tries = 300, seed = "72")
    void aSequenceOfUpdatesGivesTheSameSubsetAsOneFullUpdate(@ForAll("histories") History history) {
        TestNode chain = node(history);
        history.updates().forEach(update -> applyUpdate(chain, update));
        TestNode singleUpdate = node(history);
        applyUpdate(
                singleUpdate, new Update(UpdateScope.FULL, List.copyOf(listed(history).values())));
        int size = referenceSubset(history).size();
        assertEquals(used(singleUpdate, size), used(chain, size));
    }

    /** Guards against the properties above passing only because the generated lists are short. */
    @Property(tries = 300, seed = "71")
    void mostHistoriesEndWithServersOutsideTheSubset(@ForAll("histories") History history) {
        Statistics.label("servers outside the subset")
                .collect(listed(history).size() > referenceSubset(history).size())
                .coverage(checker -> checker.check(true).percentage(p -> p >= 50));
        assertTrue(history.updates().size() >= 1);
    }
}
