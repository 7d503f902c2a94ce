// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.scale.process;

import org.HdrHistogram.Histogram;
import ottergauge.lab.net.Loop;

/**
 * Samples a loop at a fixed interval, so that the lateness of its tasks is known even while it is
 * otherwise idle.
 */
public final class LatenessSampler {

    /** A sample that is later than this counts as late, in microseconds. */
    public static final long LATE_THRESHOLD = 20_000;

    private static final long INTERVAL = 10_000;

    /** The number of samples, the number of late ones, and the largest lateness in microseconds. */
    public record Lateness(long samples, long late, long maximum) {}

    private final Loop loop;

    private LatenessSampler(Loop loop) {
        this.loop = loop;
    }

    /** Starts to sample. Must be called on the loop. */
    public static LatenessSampler start(Loop loop) {
        LatenessSampler sampler = new LatenessSampler(loop);
        sampler.sample(loop.now() + INTERVAL);
        return sampler;
    }

    // The next sample is scheduled relative to when this one was due, not when it ran. After a
    // delay, the missed samples run one after the other, each with its own lateness.
    private void sample(long due) {
        loop.at(due, () -> sample(due + INTERVAL));
    }

    /** Returns the lateness since the last call and resets it. Must be called on the loop. */
    public Lateness readAndReset() {
        Histogram histogram = loop.lateness();
        long samples = histogram.getTotalCount();
        Lateness sinceLastRead =
                new Lateness(
                        samples,
                        samples - histogram.getCountBetweenValues(0, LATE_THRESHOLD),
                        histogram.getMaxValue());
        histogram.reset();
        return sinceLastRead;
    }
}
