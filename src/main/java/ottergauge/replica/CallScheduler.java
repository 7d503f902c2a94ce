// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import ottergauge.replica.ReplicaEffect.CancelCall;
import ottergauge.replica.ReplicaEffect.StartTimer;

/**
 * Assigns numbers to the calls of a replica and schedules their timeouts. At most one call is
 * outstanding. This class owns that call, its timeout and the delay before the next call. Timers
 * are never cancelled: each timer carries the number of its call, so that a stale timer is ignored.
 */
final class CallScheduler {

    /**
     * The delay before the next poll if a response came early and without changes, in microseconds.
     */
    static final long MIN_POLL_GAP_MICROS = 50_000;

    private static final long NO_CALL = 0;

    private final PollTimeouts timeouts;
    private final SplittableRandom random;
    private final Consumer<ReplicaEffect> effects;

    private long lastCall = NO_CALL;
    private long outstandingCall = NO_CALL;
    private long startedAt;
    private long waitMicros;
    private long deadline;
    private boolean deadlineExtended;

    CallScheduler(PollTimeouts timeouts, SplittableRandom random, Consumer<ReplicaEffect> effects) {
        this.timeouts = timeouts;
        this.random = random;
        this.effects = effects;
    }

    /**
     * Starts a call and its timeout timer.
     *
     * @param waitMicros how long the control process may wait before it responds
     * @return the call's number
     */
    long begin(long now, long waitMicros, long timeoutMicros) {
        outstandingCall = ++lastCall;
        startedAt = now;
        this.waitMicros = waitMicros;
        deadline = now + timeoutMicros;
        deadlineExtended = false;
        startTimeout(timeoutMicros);
        return outstandingCall;
    }

    private void startTimeout(long micros) {
        effects.accept(new StartTimer(micros, new ReplicaTimer.CallTimeout(outstandingCall)));
    }

    /**
     * Marks the outstanding call as complete. Returns false if the response belongs to a call that
     * is no longer outstanding.
     */
    boolean complete(long call) {
        if (call != outstandingCall || call == NO_CALL) {
            return false;
        }
        outstandingCall = NO_CALL;
        return true;
    }

    /** Cancels the outstanding call, if there is one. */
    void cancel() {
        if (outstandingCall != NO_CALL) {
            effects.accept(new CancelCall(outstandingCall));
            outstandingCall = NO_CALL;
        }
    }

    /**
     * Whether this call is still outstanding and its deadline has passed. If the timer fired later
     * than the deadline by more than the response grace, the call is given the response grace once
     * more.
     */
    boolean hasTimedOut(long now, long call) {
        if (call != outstandingCall) {
            return false;
        }
        if (now - deadline > timeouts.responseGraceMicros() && !deadlineExtended) {
            // The timer fired late, so the node itself was stalled. The response may have arrived
            // without having been read yet.
            deadlineExtended = true;
            startTimeout(timeouts.responseGraceMicros());
            return false;
        }
        return true;
    }

    /**
     * How long the control process may hold a poll open: a random time, or the short initial wait
     * if the process has not responded yet.
     */
    long drawWaitMicros(boolean responsive) {
        if (!responsive) {
            return timeouts.initialWaitMicros();
        }
        long min = timeouts.minWaitMicros();
        return min + random.nextLong(timeouts.maxWaitMicros() - min + 1);
    }

    /**
     * Whether the last call took less time than its requested wait, or less than the minimum poll
     * gap.
     */
    boolean endedEarly(long now) {
        return now - startedAt < Math.max(MIN_POLL_GAP_MICROS, waitMicros);
    }

    /** Starts the timer that triggers the next call. */
    void delayNextCall(long micros) {
        effects.accept(new StartTimer(micros, new ReplicaTimer.DelayElapsed(lastCall)));
    }

    /** Delays the next call by a random time between half of the maximum and the maximum. */
    void backOff(long maxMicros) {
        delayNextCall(maxMicros / 2 + random.nextLong(maxMicros / 2 + 1));
    }

    /**
     * Whether no call is outstanding and the last call has this number, so that the next call may
     * be made.
     */
    boolean isNextCallDue(long afterCall) {
        return outstandingCall == NO_CALL && afterCall == lastCall;
    }
}
