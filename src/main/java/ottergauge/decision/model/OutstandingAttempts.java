// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;

/** All attempts of this node that servers work on, and how many they are on average. */
public final class OutstandingAttempts {

    private final List<Attempt> attempts = new ArrayList<>();
    private final List<Attempt> view = Collections.unmodifiableList(attempts);
    private long advancedTo = Instants.NEVER;
    private double attemptMicros;
    private double attemptMicrosBeforeWindow;
    private double meanOfLastWindow;
    private long lastSentAt;

    /** Integrates the count up to this instant. */
    public void advanceTo(long now) {
        long span = advancedTo == Instants.NEVER ? 0 : now - advancedTo;
        attemptMicros += attempts.size() * (double) span;
        advancedTo = now;
    }

    /** Ends a measurement window. */
    public void endWindow() {
        meanOfLastWindow =
                (attemptMicros - attemptMicrosBeforeWindow) / MeasurementWindow.LENGTH_MICROS;
        attemptMicrosBeforeWindow = attemptMicros;
    }

    /** Counts an attempt as work of its server. */
    public void start(Attempt attempt) {
        attempt.server().attemptStarted(attempt);
        attempts.add(attempt);
    }

    /** Counts an attempt as work of its server no more. */
    public void finish(Attempt attempt) {
        attempts.remove(attempt);
        attempt.server().attemptFinished(attempt);
    }

    /** Notes that an attempt has been sent. */
    public void recordSend(long now) {
        lastSentAt = now;
    }

    /** Returns the instant of the last send; 0 before the first one. */
    public long lastSentAt() {
        return lastSentAt;
    }

    /** Returns the attempts, the oldest first. */
    public List<Attempt> all() {
        return view;
    }

    /** Returns how many there are. */
    public int count() {
        return attempts.size();
    }

    /** Whether there is none. */
    public boolean isEmpty() {
        return attempts.isEmpty();
    }

    /** Returns how many there were on average in the last measurement window. */
    public double meanOfLastWindow() {
        return meanOfLastWindow;
    }
}
