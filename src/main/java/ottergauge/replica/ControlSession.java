// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import ottergauge.protocol.Address;
import ottergauge.replica.ReplicaEffect.StartTimer;

/**
 * The control process that a replica calls, and whether it responds. Owns the endpoint selection,
 * the fail-over to the next process and the timer of the fail-back to the preferred one.
 */
final class ControlSession {

    /** The longest time at another process before the preferred one is tried again. */
    static final long FAIL_BACK_DELAY_MICROS = 90_000_000;

    /** Where a fail-over leads. */
    enum FailOver {
        /** The next process of the round is called. */
        NEXT_ENDPOINT,
        /** No process has the log that is followed: the log of another one is fetched. */
        OTHER_LOG,
        /** All were called, and none can be used. */
        ROUND_FAILED
    }

    private final ControlEndpointSelector endpoints;
    private final SplittableRandom random;
    private final Consumer<ReplicaEffect> effects;

    /** The first process of this round that had another log than the one that is followed. */
    private Optional<ControlEndpoint> otherLog = Optional.empty();

    /** Whether the current process has responded, so that a poll there may wait long. */
    private boolean responsive;

    private boolean failBackTimerRunning;

    ControlSession(
            ControlEndpointSelector endpoints,
            SplittableRandom random,
            Consumer<ReplicaEffect> effects) {
        this.endpoints = endpoints;
        this.random = random;
        this.effects = effects;
    }

    Address address() {
        return endpoints.current().address();
    }

    boolean isResponsive() {
        return responsive;
    }

    /** The current process sent a response that could be used: it stays the one that is called. */
    void recordResponse() {
        responsive = true;
        otherLog = Optional.empty();
        endpoints.recordResponse();
        if (!endpoints.isPreferred() && !failBackTimerRunning) {
            long half = FAIL_BACK_DELAY_MICROS / 2;
            startFailBackTimer(half + random.nextLong(half + 1));
        }
    }

    /** The current process has another log; a later one of the round may have the followed one. */
    void recordOtherLog() {
        if (otherLog.isEmpty()) {
            otherLog = Optional.of(endpoints.current());
        }
    }

    /** Leaves the current process, which can't be used now. */
    FailOver failOver() {
        responsive = false;
        if (endpoints.advance()) {
            return FailOver.NEXT_ENDPOINT;
        }
        if (otherLog.isPresent()) {
            endpoints.restartAt(otherLog.get());
            return FailOver.OTHER_LOG;
        }
        return FailOver.ROUND_FAILED;
    }

    /** Counts a round in which no process could be used; returns how many there were before. */
    int recordFailedRound() {
        return endpoints.recordFailedRound();
    }

    /** Starts a new round after a back-off, unless the current process is responsive. */
    void resume() {
        if (!responsive) {
            endpoints.restart();
        }
    }

    /** A snapshot is fetched from the current process, whatever its log. */
    void beginSnapshot() {
        otherLog = Optional.empty();
        responsive = true;
    }

    /** Whether the fail-back, whose timer has fired, has a process to go back to. */
    boolean isFailBackDue() {
        failBackTimerRunning = false;
        return !endpoints.isPreferred() && responsive;
    }

    /** Goes back to the preferred process; the current one is the next of its round. */
    void failBack() {
        responsive = false;
        endpoints.returnToPreferred();
    }

    /** Tries the fail-back again later, as a snapshot is being fetched. */
    void postponeFailBack() {
        startFailBackTimer(FAIL_BACK_DELAY_MICROS);
    }

    private void startFailBackTimer(long delayMicros) {
        failBackTimerRunning = true;
        effects.accept(new StartTimer(delayMicros, new ReplicaTimer.FailBackDue()));
    }
}
