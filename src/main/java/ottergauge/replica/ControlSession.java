// SPDX-License-Identifier: Apache-2.0
package ottergauge.replica;

import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import ottergauge.protocol.Address;
import ottergauge.replica.ReplicaEffect.StartTimer;

/**
 * Tracks which control process a replica calls and whether that process responds. Owns the endpoint
 * selection, the fail-over to the next process and the timer for the fail-back to the preferred
 * one.
 */
final class ControlSession {

    /**
     * The longest delay of the fail-back timer. When it fires, a replica that uses another process
     * tries the preferred one again, unless a snapshot is being fetched.
     */
    static final long FAIL_BACK_DELAY_MICROS = 90_000_000;

    /** The result of a fail-over. */
    enum FailOver {
        /** The replica calls the next process of the round. */
        NEXT_ENDPOINT,
        /**
         * No process of the round has the replica's log. The replica fetches a snapshot of another
         * log.
         */
        OTHER_LOG,
        /** The replica called all processes of the round and none of them can be used. */
        ROUND_FAILED
    }

    private final ControlEndpointSelector endpoints;
    private final SplittableRandom random;
    private final Consumer<ReplicaEffect> effects;

    /** The first process of this round whose log is not the replica's log. */
    private Optional<ControlEndpoint> otherLog = Optional.empty();

    /** Whether the current process has responded, so that a long poll can be sent to it. */
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

    /**
     * Records a usable response. The replica keeps calling the current process, and starts the
     * fail-back timer if this is not the preferred one.
     */
    void recordResponse() {
        responsive = true;
        otherLog = Optional.empty();
        endpoints.recordResponse();
        if (!endpoints.isPreferred() && !failBackTimerRunning) {
            long half = FAIL_BACK_DELAY_MICROS / 2;
            startFailBackTimer(half + random.nextLong(half + 1));
        }
    }

    /**
     * Records that the current process has another log. A later process of the round may still have
     * the replica's log.
     */
    void recordOtherLog() {
        if (otherLog.isEmpty()) {
            otherLog = Optional.of(endpoints.current());
        }
    }

    /** Moves on from the current process because it can't be used now. */
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

    /**
     * Counts a round in which no process could be used. Returns the number of consecutive failed
     * rounds before it.
     */
    int recordFailedRound() {
        return endpoints.recordFailedRound();
    }

    /** Starts a new round after a back-off, unless the current process is responsive. */
    void resume() {
        if (!responsive) {
            endpoints.restart();
        }
    }

    /** Prepares to fetch a snapshot from the current process, whichever log it has. */
    void beginSnapshot() {
        otherLog = Optional.empty();
        responsive = true;
    }

    /**
     * Handles the fail-back timer. Returns whether the replica should now go back to the preferred
     * process.
     */
    boolean isFailBackDue() {
        failBackTimerRunning = false;
        return !endpoints.isPreferred() && responsive;
    }

    /**
     * Goes back to the preferred process. If that process cannot be used, the replica next calls
     * the one that it has used until now.
     */
    void failBack() {
        responsive = false;
        endpoints.returnToPreferred();
    }

    /** Restarts the fail-back timer, because a snapshot is being fetched. */
    void postponeFailBack() {
        startFailBackTimer(FAIL_BACK_DELAY_MICROS);
    }

    private void startFailBackTimer(long delayMicros) {
        failBackTimerRunning = true;
        effects.accept(new StartTimer(delayMicros, new ReplicaTimer.FailBackDue()));
    }
}
