// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

/** One attempt to send a request to a server. Instants are in microseconds. */
public final class Attempt {

    private final Request request;
    private final int number;
    private final Server server;
    private final double loadBefore;
    private long sentAt;

    /**
     * Creates an attempt.
     *
     * @param number number of this attempt within its request, counted from 0
     * @param sentAt the instant at which the attempt is sent
     * @param loadBefore estimated number of requests that the server held before this one
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

    /** Returns the number of this attempt within its request, counted from 0. */
    public int number() {
        return number;
    }

    /** Returns the server that the attempt was sent to. */
    public Server server() {
        return server;
    }

    /** Returns the estimated number of requests that the server held before this one. */
    public double loadBefore() {
        return loadBefore;
    }

    /**
     * Returns the instant at which the attempt was sent, or {@link Instants#NEVER} while its
     * request body is still streaming.
     */
    public long sentAt() {
        return sentAt;
    }

    /**
     * Returns whether the request body is still streaming to the server. The server starts work
     * only after it has received the last byte.
     */
    public boolean isBodyStreaming() {
        return sentAt == Instants.NEVER;
    }

    /** Records that the request body is streaming to the server. */
    public void bodyStreaming() {
        sentAt = Instants.NEVER;
    }

    /** Records that the last byte of the request body has been sent. */
    public void bodySent(long now) {
        sentAt = now;
    }
}
