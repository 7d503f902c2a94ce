// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.SplittableRandom;
import java.util.function.Consumer;
import ottergauge.replica.ReplicaEffect.CancelCall;
import ottergauge.replica.ReplicaEffect.StartTimer;

/**
 * Numbers and times the calls of a replica. Owns the one call that may be outstanding, its timeout
 * and the delay before the next one. Timers are never cancelled: a stale one is ignored by the
 * number of the call that it belongs to.
 */
final class CallScheduler {

    /** The shortest gap between two polls that brought nothing, in microseconds. */
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
     * Starts a call and the timer of its timeout.
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

    /** Ends the outstanding call if it has this number; false for a stale response. */
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

    /** Whether the call that a timeout belongs to is outstanding and out of time. */
    boolean hasTimedOut(long now, long call) {
        if (call != outstandingCall) {
            return false;
        }
        if (now - deadline > timeouts.responseGraceMicros() && !deadlineExtended) {
            // The node itself was stalled: a response may be there that it has not read yet.
            deadlineExtended = true;
            startTimeout(timeouts.responseGraceMicros());
            return false;
        }
        return true;
    }

    /** How long a poll for changes waits: jittered, unless its process has yet to respond. */
    long drawWaitMicros(boolean responsive) {
        if (!responsive) {
            return timeouts.initialWaitMicros();
        }
        long min = timeouts.minWaitMicros();
        return min + random.nextLong(timeouts.maxWaitMicros() - min + 1);
    }

    /** Whether the last call ended sooner than it had been asked to wait. */
    boolean endedEarly(long now) {
        return now - startedAt < Math.max(MIN_POLL_GAP_MICROS, waitMicros);
    }

    /** Makes the next call after a delay. */
    void delayNextCall(long micros) {
        effects.accept(new StartTimer(micros, new ReplicaTimer.DelayElapsed(lastCall)));
    }

    /** Makes the next call after a random delay of at least half the maximum. */
    void backOff(long maxMicros) {
        delayNextCall(maxMicros / 2 + random.nextLong(maxMicros / 2 + 1));
    }

    /** Whether a delay after this call has elapsed and no later call was made. */
    boolean isNextCallDue(long afterCall) {
        return outstandingCall == NO_CALL && afterCall == lastCall;
    }
}
