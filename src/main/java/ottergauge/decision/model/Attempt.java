// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

/** One attempt of a request at a server. Instants are microseconds. */
public final class Attempt {

    private final Request request;
    private final int number;
    private final Server server;
    private final double loadBefore;
    private long sentAt;

    /**
     * Creates an attempt that is sent now.
     *
     * @param number counts the request's attempts from 0
     * @param loadBefore estimate of the requests that the server held before this one
     */
    public Attempt(Request request, int number, Server server, long sentAt, double loadBefore) {
        this.request = request;
        this.number = number;
        this.server = server;
        this.sentAt = sentAt;
        this.loadBefore = loadBefore;
    }

    /** Returns the request. */
    public Request request() {
        return request;
    }

    /** Returns the number among the request's attempts, from 0. */
    public int number() {
        return number;
    }

    /** Returns the server that it was sent to. */
    public Server server() {
        return server;
    }

    /** Returns the estimate of the requests that the server held before this one. */
    public double loadBefore() {
        return loadBefore;
    }

    /** Returns the instant of its sending; {@link Instants#NEVER} while its body streams. */
    public long sentAt() {
        return sentAt;
    }

    /** Whether its body still passes to the server, which has no work with it before the end. */
    public boolean isBodyStreaming() {
        return sentAt == Instants.NEVER;
    }

    /** Notes that its body passes to the server. */
    public void bodyStreaming() {
        sentAt = Instants.NEVER;
    }

    /** Notes that the last byte of its body has passed. */
    public void bodySent(long now) {
        sentAt = now;
    }
}
