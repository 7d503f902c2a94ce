// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

import java.util.ArrayDeque;

/** A server's start and what this node sent it while it was warming up. */
public final class SlowStartState {

    private long startedAt = Instants.NEVER;
    private long drawnAt = Instants.NEVER;
    private double draw;
    private final ArrayDeque<Long> recentSends = new ArrayDeque<>(0);

    /** Returns the instant of the server's start; {@link Instants#NEVER} if it was long ago. */
    public long startedAt() {
        return startedAt;
    }

    /** Takes the start of a server's new incarnation. */
    public void restart(long at) {
        startedAt = at;
        drawnAt = Instants.NEVER;
    }

    /** Whether the server waits for its chance of a send, as it does with a budget under one. */
    public boolean hasDraw() {
        return drawnAt != Instants.NEVER;
    }

    /** Returns the instant of the draw. */
    public long drawnAt() {
        return drawnAt;
    }

    /** Returns the budget that has to accrue before the next send. */
    public double draw() {
        return draw;
    }

    /** Draws the budget that has to accrue before the next send. */
    public void setDraw(double draw, long now) {
        this.draw = draw;
        drawnAt = now;
    }

    /** Notes a send, which uses up the draw. */
    public void recordSend(long now) {
        recentSends.add(now);
        drawnAt = Instants.NEVER;
    }

    /** Returns how many sends are remembered. */
    public int recentSends() {
        return recentSends.size();
    }

    /** Forgets the sends that are at least so long ago. */
    public void forgetSendsOlderThan(long span, long now) {
        while (!recentSends.isEmpty() && now - recentSends.peekFirst() >= span) {
            recentSends.removeFirst();
        }
    }

    /** Forgets all sends. */
    public void forgetSends() {
        recentSends.clear();
    }
}
