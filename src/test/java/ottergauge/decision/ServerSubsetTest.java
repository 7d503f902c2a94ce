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
 * The subset that a node serves from, held to the plain computation: all listed servers in the
 * order of the ring, the node's points on it, one server after the other. What the subset is shows
 * by where requests go.
 */
class ServerSubsetTest {

    private static final double GOLDEN = 0.6180339887498949;
    private static final int FREE_SUBSET = 32;
    private static final int DOZEN = 12;
    private static final int TRIES = 4;

    /** One entry of a list, and whether it comes alone, as one of a change, or in a whole list. */
    record Told(UpdateScope scope, List<Endpoint> servers) {}

    record History(int node, int nodes, List<Told> told) {}

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
                        // The size is the server's own: lists do not change it.
                        .as((id, state) -> new Endpoint(id, 0, 0, 0, state, size(id), 0));
        Arbitrary<Told> changes =
                servers.list().ofMaxSize(6).map(s -> new Told(UpdateScope.INCREMENTAL, s));
        Arbitrary<Told> wholes =
                servers.list().ofMinSize(1).ofMaxSize(120).map(s -> new Told(UpdateScope.FULL, s));
        Arbitrary<Told> all = Arbitraries.frequencyOf(Tuple.of(6, changes), Tuple.of(1, wholes));
        return Combinators.combine(
                        Arbitraries.integers().between(0, 299),
                        Arbitraries.integers().between(1, 300),
                        wholes,
                        all.list().ofMaxSize(25))
                .as(
                        (node, nodes, first, then) -> {
                            List<Told> told = new ArrayList<>();
                            told.add(first);
                            told.addAll(then);
                            return new History(node % nodes, nodes, told);
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

    /** What is listed after all that was told, named by name. */
    private static Map<Long, Endpoint> listed(History history) {
        Map<Long, Endpoint> listed = new LinkedHashMap<>();
        for (Told told : history.told()) {
            if (told.scope() == UpdateScope.FULL) {
                listed.clear();
            }
            told.servers().forEach(s -> listed.put(s.id(), s));
            listed.values().removeIf(s -> s.state() == EndpointState.REMOVED);
        }
        return listed;
    }

    private static Set<Long> plainSubset(History history) {
        Map<Long, Endpoint> listed = listed(history);
        if (listed.isEmpty()) {
            return Set.of();
        }
        Map<Long, Double> sizes = new LinkedHashMap<>();
        listed.forEach((id, server) -> sizes.put(id, size(id)));
        ReferenceRing ring = new ReferenceRing(sizes);
        int count = listed.size();
        int size =
                (int) Math.min(FREE_SUBSET, DOZEN * Math.max(1, count / (double) history.nodes()));
        boolean all = size >= count;
        Set<Long> subset = new HashSet<>();
        for (int k = 0; subset.size() < size && k < (all ? count : TRIES * size); k++) {
            double point = ((history.node() + 0.5) / history.nodes() + k * GOLDEN) % 1;
            long id = all ? ring.ids().get(k) : ring.at(point);
            if (listed.get(id).state() == EndpointState.UP) {
                subset.add(id);
            }
        }
        return subset;
    }

    private static void tell(TestNode node, Told told) {
        node.on(new EndpointUpdate(told.scope(), told.servers()));
    }

    /**
     * The servers that requests go to, one at a time: in two rounds of the rotation all of the
     * subset.
     */
    private static Set<Long> used(TestNode node, int subset) {
        Set<Long> used = new HashSet<>();
        for (int i = 0; i < 2 * subset; i++) {
            used.add(node.serve("r" + i, 1));
        }
        return used;
    }

    @Property(tries = 300, seed = "71")
    void theSubsetIsWhatThePlainComputationGives(@ForAll("histories") History history) {
        TestNode node = node(history);
        history.told().forEach(told -> tell(node, told));
        Set<Long> expected = plainSubset(history);
        assertEquals(expected, used(node, expected.size()));
    }

    @Property(tries = 300, seed = "72")
    void aChainOfChangesGivesTheSameSubsetAsTheWholeListAtOnce(
            @ForAll("histories") History history) {
        TestNode chain = node(history);
        history.told().forEach(told -> tell(chain, told));
        TestNode whole = node(history);
        tell(whole, new Told(UpdateScope.FULL, List.copyOf(listed(history).values())));
        int size = plainSubset(history).size();
        assertEquals(used(whole, size), used(chain, size));
    }

    /** Guards against properties above that hold because hardly anything is ever listed. */
    @Property(tries = 300, seed = "71")
    void mostHistoriesEndWithServersBesideTheSubset(@ForAll("histories") History history) {
        Statistics.label("servers beside the subset")
                .collect(listed(history).size() > plainSubset(history).size())
                .coverage(checker -> checker.check(true).percentage(p -> p >= 50));
        assertTrue(history.told().size() >= 1);
    }
}
