// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.process;

import org.HdrHistogram.Histogram;
import ottergauge.lab.net.Loop;

/**
 * Looks at a loop in equal steps, so that how late it comes round is known also while nothing
 * happens.
 */
public final class LatenessSampler {

    /** Looks that are later than this count as late, in microseconds. */
    public static final long LATE = 20_000;

    private static final long EVERY = 10_000;

    /** How many looks there were, how many of them late, and the latest in microseconds. */
    public record Lateness(long looks, long late, long most) {}

    private final Loop loop;

    private LatenessSampler(Loop loop) {
        this.loop = loop;
    }

    /** Begins to look; on the loop. */
    public static LatenessSampler begin(Loop loop) {
        LatenessSampler looks = new LatenessSampler(loop);
        looks.look(loop.now() + EVERY);
        return looks;
    }

    // The next look is due from when this one was: those that were missed come late one after the
    // other.
    private void look(long due) {
        loop.at(due, () -> look(due + EVERY));
    }

    /** What was seen since this was asked last; on the loop. */
    public Lateness take() {
        Histogram histogram = loop.lateness();
        long looks = histogram.getTotalCount();
        Lateness taken =
                new Lateness(
                        looks,
                        looks - histogram.getCountBetweenValues(0, LATE),
                        histogram.getMaxValue());
        histogram.reset();
        return taken;
    }
}
