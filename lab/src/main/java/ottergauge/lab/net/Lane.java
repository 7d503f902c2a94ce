// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.net;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** One way of a link and what is wrong with it now; shared by all connections over it. */
public final class Lane {

    private final SplittableRandom random;
    private final long base;
    private final long baseJitter;
    private boolean held;
    private boolean gone;
    private long delay;
    private long jitter;
    private double lost;
    private double doubled;
    private double reordered;
    private double bytesPerSecond;
    private long cutAfter = -1;
    private final List<Runnable> waiting = new ArrayList<>();

    /**
     * {@code base} is how long a byte takes with nothing wrong, and {@code baseJitter} its spread.
     */
    Lane(long seed, long base, long baseJitter) {
        random = new SplittableRandom(seed);
        this.base = base;
        this.baseJitter = baseJitter;
    }

    /** Nothing arrives until it heals; then what was held does. */
    void hold() {
        held = true;
    }

    void delay(long span, long spread) {
        delay = span;
        jitter = spread;
    }

    void lose(double share) {
        lost = share;
    }

    void twice(double share) {
        doubled = share;
    }

    void reorder(double share) {
        reordered = share;
    }

    void rate(double bytes) {
        bytesPerSecond = bytes;
    }

    /** A connection ends in the middle of what it carries, after so many more bytes. */
    void cut(long bytes) {
        cutAfter = bytes;
    }

    /** Whether all that goes this way is lost: the machine at its end is gone. */
    public void loseAll(boolean all) {
        gone = all;
    }

    void heal() {
        held = false;
        delay = 0;
        jitter = 0;
        lost = 0;
        doubled = 0;
        reordered = 0;
        bytesPerSecond = 0;
        cutAfter = -1;
        List<Runnable> released = new ArrayList<>(waiting);
        waiting.clear();
        released.forEach(Runnable::run);
    }

    boolean holds() {
        return held;
    }

    /** Runs something when this heals. */
    void whenHealed(Runnable task) {
        waiting.add(task);
    }

    /** Whether nothing at all is wrong and no byte takes any time. */
    boolean clear() {
        return !held
                && !gone
                && delay + jitter + base + baseJitter == 0
                && lost == 0
                && bytesPerSecond == 0
                && cutAfter < 0;
    }

    /** How long the next bytes take on their way. */
    long trip() {
        long spread = jitter + baseJitter;
        return base + delay + (spread > 0 ? random.nextLong(spread) : 0);
    }

    /** How long so many bytes take to be written at all. */
    long writing(long bytes) {
        return bytesPerSecond > 0 ? (long) (bytes * 1e6 / bytesPerSecond) : 0;
    }

    boolean loses() {
        return gone || (lost > 0 && random.nextDouble() < lost);
    }

    boolean doubles() {
        return doubled > 0 && random.nextDouble() < doubled;
    }

    /** Whether the next datagram is overtaken by those behind it. */
    boolean reorders() {
        return reordered > 0 && random.nextDouble() < reordered;
    }

    long cutAfter() {
        return cutAfter;
    }
}
