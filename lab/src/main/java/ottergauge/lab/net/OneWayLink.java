// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.net;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** One way of a link and what is wrong with it now; shared by all connections over it. */
public final class OneWayLink {

    private final SplittableRandom random;
    private final long base;
    private final long baseJitter;
    private boolean held;
    private boolean loseAll;
    private long delay;
    private long jitter;
    private double lossShare;
    private double duplicateShare;
    private double reorderShare;
    private double bytesPerSecond;
    private long cutAfter = -1;
    private final List<Runnable> waiting = new ArrayList<>();

    /**
     * {@code base} is how long a byte takes with nothing wrong, and {@code baseJitter} its spread.
     */
    OneWayLink(long seed, long base, long baseJitter) {
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
        lossShare = share;
    }

    void duplicate(double share) {
        duplicateShare = share;
    }

    void reorder(double share) {
        reorderShare = share;
    }

    void rate(double bytes) {
        bytesPerSecond = bytes;
    }

    /** A connection ends in the middle of what it carries, after so many more bytes. */
    void cut(long bytes) {
        cutAfter = bytes;
    }

    /** Whether all that goes this way is lost: the machine at its end is gone. */
    public void setLoseAll(boolean all) {
        loseAll = all;
    }

    void heal() {
        held = false;
        delay = 0;
        jitter = 0;
        lossShare = 0;
        duplicateShare = 0;
        reorderShare = 0;
        bytesPerSecond = 0;
        cutAfter = -1;
        List<Runnable> released = new ArrayList<>(waiting);
        waiting.clear();
        released.forEach(Runnable::run);
    }

    boolean isHeld() {
        return held;
    }

    /** Runs something when this heals. */
    void onHeal(Runnable task) {
        waiting.add(task);
    }

    /** Whether nothing at all is wrong and no byte takes any time. */
    boolean clear() {
        return !held
                && !loseAll
                && delay + jitter + base + baseJitter == 0
                && lossShare == 0
                && bytesPerSecond == 0
                && cutAfter < 0;
    }

    /** How long the next bytes take on their way. */
    long latency() {
        long spread = jitter + baseJitter;
        return base + delay + (spread > 0 ? random.nextLong(spread) : 0);
    }

    /** How long so many bytes take to be written at all. */
    long transmissionTime(long bytes) {
        return bytesPerSecond > 0 ? (long) (bytes * 1e6 / bytesPerSecond) : 0;
    }

    boolean losesNext() {
        return loseAll || (lossShare > 0 && random.nextDouble() < lossShare);
    }

    boolean duplicatesNext() {
        return duplicateShare > 0 && random.nextDouble() < duplicateShare;
    }

    /** Whether the next datagram is overtaken by those behind it. */
    boolean reordersNext() {
        return reorderShare > 0 && random.nextDouble() < reorderShare;
    }

    long cutAfter() {
        return cutAfter;
    }
}
