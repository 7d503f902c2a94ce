// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

import java.util.ArrayDeque;

/** A server's start time, and the attempts that this node sent to it during its slow start. */
public final class SlowStartState {

    private long startedAt = Instants.NEVER;
    private long sendThresholdSetAt = Instants.NEVER;
    private double sendThreshold;
    private final ArrayDeque<Long> recentSends = new ArrayDeque<>(0);

    /**
     * Returns the instant at which the server started, or {@link Instants#NEVER} if that was long
     * ago.
     */
    public long startedAt() {
        return startedAt;
    }

    /** Records that the server has restarted. */
    public void restart(long at) {
        startedAt = at;
        sendThresholdSetAt = Instants.NEVER;
    }

    /**
     * Returns whether a send threshold is set. It is set while the server's slow-start budget is
     * under one send per window.
     */
    public boolean hasSendThreshold() {
        return sendThresholdSetAt != Instants.NEVER;
    }

    /** Returns the instant at which the send threshold was set. */
    public long sendThresholdSetAt() {
        return sendThresholdSetAt;
    }

    /** Returns the budget that has to accumulate before the next send. */
    public double sendThreshold() {
        return sendThreshold;
    }

    /** Sets the budget that has to accumulate before the next send. */
    public void setSendThreshold(double sendThreshold, long now) {
        this.sendThreshold = sendThreshold;
        sendThresholdSetAt = now;
    }

    /** Records a send, which clears the send threshold. */
    public void recordSend(long now) {
        recentSends.add(now);
        sendThresholdSetAt = Instants.NEVER;
    }

    /** Returns the number of sends that have not been forgotten. */
    public int recentSends() {
        return recentSends.size();
    }

    /** Forgets the sends that are at least this time span ago. */
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
