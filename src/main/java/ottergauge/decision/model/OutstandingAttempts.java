// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/**
 * This node's attempts that servers work on, and their mean number in the last measurement window.
 * An attempt doesn't count while its request body is still streaming to the server.
 */
public final class OutstandingAttempts {

    private final List<Attempt> attempts = new ArrayList<>();
    private final List<Attempt> view = Collections.unmodifiableList(attempts);
    private long advancedTo = Instants.NEVER;
    private double attemptMicros;
    private double attemptMicrosBeforeWindow;
    private double meanOfLastWindow;
    private long lastSentAt;

    /** Integrates the number of outstanding attempts over time, up to this instant. */
    public void advanceTo(long now) {
        long span = advancedTo == Instants.NEVER ? 0 : now - advancedTo;
        attemptMicros += attempts.size() * (double) span;
        advancedTo = now;
    }

    /** Ends a measurement window and computes the mean number of outstanding attempts in it. */
    public void endWindow() {
        meanOfLastWindow =
                (attemptMicros - attemptMicrosBeforeWindow) / MeasurementWindow.LENGTH_MICROS;
        attemptMicrosBeforeWindow = attemptMicros;
    }

    /** Adds an attempt that its server now works on. */
    public void start(Attempt attempt) {
        attempt.server().attemptStarted(attempt);
        attempts.add(attempt);
    }

    /** Removes an attempt that its server no longer works on. */
    public void finish(Attempt attempt) {
        attempts.remove(attempt);
        attempt.server().attemptFinished(attempt);
    }

    /** Records that an attempt has been sent. */
    public void recordSend(long now) {
        lastSentAt = now;
    }

    /** Returns the instant at which the last attempt was sent, or 0 before the first one. */
    public long lastSentAt() {
        return lastSentAt;
    }

    /** Returns the outstanding attempts, oldest first. */
    public List<Attempt> all() {
        return view;
    }

    /** Returns the number of outstanding attempts. */
    public int count() {
        return attempts.size();
    }

    /** Returns whether no attempt is outstanding. */
    public boolean isEmpty() {
        return attempts.isEmpty();
    }

    /** Returns the mean number of outstanding attempts in the last measurement window. */
    public double meanOfLastWindow() {
        return meanOfLastWindow;
    }
}
