// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.ring;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.stream.LongStream;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.junit.jupiter.api.Test;

/**
 * Compares the ring with a simple reference computation after any sequence of insertions and
 * removals, and checks that its operations visit few elements.
 */
class ConsistentHashRingTest {

    private static final int POINTS = 64;
    private static final int CHANGES = 200;

    /** Puts an element with a size, or removes it (size 0). */
    record Step(long id, double size) {}

    /**
     * Sizes whose sums are exact in any order, so that even the exact start of an arc can be
     * compared.
     */
    @Provide
    Arbitrary<List<Step>> exactSteps() {
        return steps(Arbitraries.integers().between(0, 64).map(sixteenths -> sixteenths / 16.0));
    }

    @Provide
    Arbitrary<List<Step>> anySteps() {
        return steps(
                Arbitraries.oneOf(Arbitraries.just(0.0), Arbitraries.doubles().between(0.01, 50)));
    }

    private static Arbitrary<List<Step>> steps(Arbitrary<Double> sizes) {
        return Combinators.combine(Arbitraries.longs().between(0, 40), sizes)
                .as(Step::new)
                .list()
                .ofMaxSize(120);
    }

    private static void apply(ConsistentHashRing<Long> ring, Map<Long, Double> sizes, Step step) {
        if (step.size() > 0) {
            ring.put(step.id(), step.size(), step.id());
            sizes.put(step.id(), step.size());
        } else {
            ring.remove(step.id());
            sizes.remove(step.id());
        }
    }

    @Property(tries = 400, seed = "61")
    void afterEachChangeTheRingEqualsTheReferenceComputation(
            @ForAll("exactSteps") List<Step> steps) {
        ConsistentHashRing<Long> ring = new ConsistentHashRing<>();
        Map<Long, Double> sizes = new LinkedHashMap<>();
        for (Step step : steps) {
            apply(ring, sizes, step);
            ReferenceRing reference = new ReferenceRing(sizes);
            assertEquals(reference.ids(), ring.first(ring.count()));
            assertEquals(
                    reference.ids().subList(0, Math.min(3, reference.ids().size())), ring.first(3));
            assertEquals(sizes.containsKey(step.id()) ? step.id() : null, ring.get(step.id()));
            for (int i = 0; i < POINTS && !sizes.isEmpty(); i++) {
                assertEquals(reference.at(i / (double) POINTS), ring.at(i / (double) POINTS));
            }
            for (double point : reference.arcStarts()) {
                assertEquals(reference.at(point), ring.at(point));
            }
        }
    }

    @Property(tries = 400, seed = "62")
    void lookupByPointFindsTheArcThatContainsIt(@ForAll("anySteps") List<Step> steps) {
        ConsistentHashRing<Long> ring = new ConsistentHashRing<>();
        Map<Long, Double> sizes = new LinkedHashMap<>();
        steps.forEach(step -> apply(ring, sizes, step));
        ReferenceRing reference = new ReferenceRing(sizes);
        for (int i = 0; i < POINTS && !sizes.isEmpty(); i++) {
            double point = i / (double) POINTS;
            assertTrue(reference.distance(point, ring.at(point)) < 1e-12, "the arc at " + point);
        }
    }

    /**
     * Guards against rings of different nodes that differ, even in the last bit, because of
     * different earlier changes.
     */
    @Property(tries = 400, seed = "63")
    void theRingDoesNotDependOnEarlierChangesOrTheOrderOfInsertion(
            @ForAll("anySteps") List<Step> steps, @ForAll long shuffle) {
        ConsistentHashRing<Long> chain = new ConsistentHashRing<>();
        Map<Long, Double> sizes = new LinkedHashMap<>();
        steps.forEach(step -> apply(chain, sizes, step));
        ConsistentHashRing<Long> single = new ConsistentHashRing<>();
        List<Long> ids = new ArrayList<>(sizes.keySet());
        Collections.shuffle(ids, new Random(shuffle));
        ids.forEach(id -> single.put(id, sizes.get(id), id));
        assertEquals(single.first(ids.size()), chain.first(chain.count()));
        // The start of each arc is found by bisection, so that a difference in the last bit of a
        // sum is detected.
        for (double point = 0.5; point > 1e-15 && !ids.isEmpty(); point /= 2) {
            assertEquals(boundary(single, point), boundary(chain, point));
        }
    }

    /**
     * Returns, to the last bit, the first point between half of this point and this point at which
     * the ring returns the same element as here.
     */
    private static double boundary(ConsistentHashRing<Long> ring, double point) {
        double outside = point / 2;
        double inside = point;
        while (outside < inside
                && (outside + inside) / 2 > outside
                && (outside + inside) / 2 < inside) {
            double middle = (outside + inside) / 2;
            if (ring.at(middle).equals(ring.at(point))) {
                inside = middle;
            } else {
                outside = middle;
            }
        }
        return inside;
    }

    @Test
    void anEmptyRingHasNoElements() {
        ConsistentHashRing<Long> ring = new ConsistentHashRing<>();
        assertNull(ring.at(0.3));
        assertNull(ring.get(1));
        assertEquals(List.of(), ring.first(5));
        ring.remove(1);
        assertEquals(0, ring.count());
    }

    /** Returns the mean number of elements that an operation visits in a ring of this size. */
    private static double cost(int elements, BiConsumer<ConsistentHashRing<Long>, Long> use) {
        ConsistentHashRing<Long> ring = new ConsistentHashRing<>();
        LongStream.range(0, elements).forEach(id -> ring.put(id, 1, id));
        SplittableRandom random = new SplittableRandom(9);
        long before = ring.visits();
        for (int i = 0; i < CHANGES; i++) {
            use.accept(ring, random.nextLong(elements));
        }
        return (ring.visits() - before) / (double) CHANGES;
    }

    /** Eight times as many elements add three levels to the tree, to about twenty. */
    private static void assertGrowsLogarithmically(BiConsumer<ConsistentHashRing<Long>, Long> use) {
        double small = cost(1_000, use);
        double large = cost(8_000, use);
        assertTrue(large <= 1.6 * small, "visits " + small + " of 1,000, " + large + " of 8,000");
    }

    @Test
    void theNumberOfVisitedElementsGrowsLogarithmically() {
        assertGrowsLogarithmically((ring, id) -> ring.get(id));
        assertGrowsLogarithmically((ring, id) -> ring.at(id / (double) ring.count()));
        assertGrowsLogarithmically((ring, id) -> ring.first(12));
        assertGrowsLogarithmically((ring, id) -> ring.put(id, 2, id));
        assertGrowsLogarithmically(
                (ring, id) -> {
                    ring.remove(id);
                    ring.put(id + ring.count() + 1, 1, id);
                });
    }
}
