// SPDX-License-Identifier: Apache-2.0
package ottergauge.lab.net;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/** One direction of a link and the faults active on it, shared by all connections over the link. */
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
     * {@code base} is the latency in microseconds without faults, and {@code baseJitter} its random
     * spread.
     */
    OneWayLink(long seed, long base, long baseJitter) {
        random = new SplittableRandom(seed);
        this.base = base;
        this.baseJitter = baseJitter;
    }

    /** Holds all bytes until the faults end; they are delivered then. */
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

    /**
     * Resets a connection after it has carried this number of bytes, in the middle of a message.
     */
    void cut(long bytes) {
        cutAfter = bytes;
    }

    /** Sets whether all bytes are lost, as if the machine at the receiving end were gone. */
    public void setLoseAll(boolean all) {
        loseAll = all;
    }

    void clearFaults() {
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

    /** Runs a task when the faults end. */
    void onFaultsCleared(Runnable task) {
        waiting.add(task);
    }

    /** Whether bytes can be passed on at once: none are held, delayed, lost or cut off. */
    boolean clear() {
        return !held
                && !loseAll
                && delay + jitter + base + baseJitter == 0
                && lossShare == 0
                && bytesPerSecond == 0
                && cutAfter < 0;
    }

    /** Returns the latency of the next bytes, with jitter, in microseconds. */
    long latency() {
        long spread = jitter + baseJitter;
        return base + delay + (spread > 0 ? random.nextLong(spread) : 0);
    }

    /** Returns how long the rate limit takes to send this number of bytes, in microseconds. */
    long transmissionTime(long bytes) {
        return bytesPerSecond > 0 ? (long) (bytes * 1e6 / bytesPerSecond) : 0;
    }

    boolean losesNext() {
        return loseAll || (lossShare > 0 && random.nextDouble() < lossShare);
    }

    boolean duplicatesNext() {
        return duplicateShare > 0 && random.nextDouble() < duplicateShare;
    }

    /** Whether the next datagram is overtaken by later ones. */
    boolean reordersNext() {
        return reorderShare > 0 && random.nextDouble() < reorderShare;
    }

    long cutAfter() {
        return cutAfter;
    }
}
