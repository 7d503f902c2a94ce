// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

/** A server's failures and its ejection. The outlier detector alone changes it. */
public final class ServerHealth {

    private long lastResponseAt = Instants.NEVER;
    private int ejections;
    private int connectFailures;
    private int errors;
    private long ejectedUntil = Instants.NEVER;
    private boolean unreachable;
    private double missedResponses;

    /** Whether the server is ejected at this instant. */
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

    /** Returns the ejections that count for the length of the next one. */
    public int ejections() {
        return ejections;
    }

    /** Sets the ejections that count for the length of the next one. */
    public void setEjections(int count) {
        ejections = count;
    }

    /** Counts a failed connection and returns how many there were in a row. */
    public int countConnectFailure() {
        return ++connectFailures;
    }

    /** Counts an error and returns how many there were in a row. */
    public int countError() {
        return ++errors;
    }

    /** Ends a row of errors. */
    public void clearErrors() {
        errors = 0;
    }

    /** Whether the server is taken for dead. */
    public boolean isUnreachable() {
        return unreachable;
    }

    /** Takes the server for dead. */
    public void markUnreachable() {
        unreachable = true;
    }

    /** Notes a response: the server can be reached. */
    public void recordResponse(long now) {
        lastResponseAt = now;
        connectFailures = 0;
        unreachable = false;
    }

    /** Returns the instant of the last response. */
    public long lastResponseAt() {
        return lastResponseAt;
    }

    /** Returns the responses that should have come since the last one, as the sweep counts them. */
    public double missedResponses() {
        return missedResponses;
    }

    /** Begins the sweep's count of missed responses. */
    public void clearMissedResponses() {
        missedResponses = 0;
    }

    /** Adds to the sweep's count of missed responses. */
    public void addMissedResponses(double missed) {
        missedResponses += missed;
    }
}
