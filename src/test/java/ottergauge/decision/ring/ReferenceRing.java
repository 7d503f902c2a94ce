// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.ring;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

/**
 * A simple reference implementation of the ring, which sorts all ids and adds up all arcs each
 * time.
 */
public final class ReferenceRing {

    private final List<Long> ids;
    private final TreeMap<Double, Long> arcs = new TreeMap<>();
    private double length;

    /** Creates a ring from the sizes by id. */
    public ReferenceRing(Map<Long, Double> sizes) {
        ids = new ArrayList<>(sizes.keySet());
        ids.sort(Comparator.comparingDouble(ReferenceRing::order).thenComparingLong(id -> id));
        for (long id : ids) {
            arcs.put(length, id);
            length += sizes.get(id);
        }
    }

    private static double order(long id) {
        return new SplittableRandom(id).nextDouble();
    }

    public List<Long> ids() {
        return ids;
    }

    public long at(double point) {
        return arcs.floorEntry(point * length).getValue();
    }

    /** Returns the points at which the arcs start. */
    public List<Double> arcStarts() {
        return arcs.keySet().stream().map(from -> from / length).toList();
    }

    /**
     * Returns the distance of a point from an element's arc, as a fraction of the ring's length, or
     * 0 if the point lies in the arc.
     */
    public double distance(double point, long id) {
        double at = point * length;
        for (Map.Entry<Double, Long> arc : arcs.entrySet()) {
            if (arc.getValue() == id) {
                Double next = arcs.higherKey(arc.getKey());
                double end = next == null ? length : next;
                return Math.max(0, Math.max(arc.getKey() - at, at - end)) / length;
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
