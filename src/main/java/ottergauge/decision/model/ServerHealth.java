// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

/** A server's failures and its ejection state. Only the classes of the health package change it. */
public final class ServerHealth {

    private long lastResponseAt = Instants.NEVER;
    private int ejections;
    private int connectFailures;
    private int errors;
    private long ejectedUntil = Instants.NEVER;
    private boolean unreachable;
    private double missedResponses;

    /** Returns whether the server is ejected at this instant. */
    public boolean isEjected(long now) {
        return now < ejectedUntil;
    }

    /** Returns the instant at which the ejection ends. */
    public long ejectedUntil() {
        return ejectedUntil;
    }

    /** Sets the instant at which the ejection ends. */
    public void setEjectedUntil(long until) {
        ejectedUntil = until;
    }

    /**
     * Returns the number of ejections from which the length of the next one is computed. Successful
     * attempts lower it.
     */
    public int ejections() {
        return ejections;
    }

    /** Sets the number of ejections that determines the length of the next one. */
    public void setEjections(int count) {
        ejections = count;
    }

    /** Counts a failed connection and returns the number of consecutive ones. */
    public int countConnectFailure() {
        return ++connectFailures;
    }

    /** Counts an error and returns the number of consecutive ones. */
    public int countError() {
        return ++errors;
    }

    /** Resets the number of consecutive errors. */
    public void clearErrors() {
        errors = 0;
    }

    /** Returns whether the server is considered unreachable. */
    public boolean isUnreachable() {
        return unreachable;
    }

    /** Marks the server as unreachable. */
    public void markUnreachable() {
        unreachable = true;
    }

    /** Records a response, which proves that the server is reachable. */
    public void recordResponse(long now) {
        lastResponseAt = now;
        connectFailures = 0;
        unreachable = false;
    }

    /** Returns the instant of the last response. */
    public long lastResponseAt() {
        return lastResponseAt;
    }

    /**
     * Returns how many responses the node expected but didn't receive since the last response, as
     * of the last sweep of the silence detector.
     */
    public double missedResponses() {
        return missedResponses;
    }

    /** Resets the number of missed responses at the start of a sweep. */
    public void clearMissedResponses() {
        missedResponses = 0;
    }

    /** Adds to the number of missed responses during a sweep. */
    public void addMissedResponses(double missed) {
        missedResponses += missed;
    }
}
