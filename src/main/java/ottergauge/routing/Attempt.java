// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/**
 * An attempt to have a request answered by one server or, without a request, a load probe of that
 * server. Times are in microseconds.
 */
final class Attempt {
    static final long NO_TIMEOUT = Long.MAX_VALUE;
    private static final long NOT_BEGUN = -1;

    final long number;

    /** The request that it is an attempt of; null for a probe. */
    final InFlightRequest request;

    /** Its index among the request's attempts. */
    final int index;

    final long server;

    /** When it was started; for a streamed request, when its last byte was written. */
    long startedAt;

    /** How long it may take, from {@link #startedAt}. */
    final long timeout;

    /** When it times out; {@link #NO_TIMEOUT} while a client sends the body of its request. */
    long dueAt;

    /** When the next timer for its timeout fires; {@link #NO_TIMEOUT} if there is none. */
    long timerAt = NO_TIMEOUT;

    /** The connection that carries it; null until it has one. */
    PooledConnection connection;

    /** Whether its first byte is written. Before that it can be withdrawn without side effects. */
    boolean sendStarted;

    /** Whether its last byte is written. Before that the server can't have run it. */
    boolean sendCompleted;

    /** When the head of its response arrived, if the response is of unknown length. */
    long responseBegunAt = NOT_BEGUN;

    /** Whether bytes of the body of a response of unknown length have arrived with its head. */
    boolean bodyBegunWithHead;

    /** Whether more of a response of unknown length has arrived than what came with its head. */
    boolean responseProgressed;

    /** Whether a response of unknown length is streamed as soon as more of it arrives. */
    boolean bufferingOver;

    /** Whether its result has been reported to the decision module. */
    boolean ended;

    Attempt(
            long number,
            InFlightRequest request,
            int index,
            long server,
            long startedAt,
            long timeout) {
        this.number = number;
        this.request = request;
        this.index = index;
        this.server = server;
        this.startedAt = startedAt;
        this.timeout = timeout;
        dueAt = startedAt + timeout;
    }

    boolean isProbe() {
        return request == null;
    }

    /**
     * Whether the head of a response of unknown length has arrived that can become the response to
     * its request.
     */
    boolean hasResponseBegun() {
        return responseBegunAt != NOT_BEGUN;
    }

    /**
     * Whether the first bytes of its response, which is of unknown length, came with the head and
     * none since. Its server may have failed to mark the end.
     */
    boolean mayLackItsEnd() {
        return bodyBegunWithHead && !responseProgressed;
    }

    /** Whether its request's body is being streamed to the server. */
    boolean isStreamingRequest() {
        return !isProbe() && request.streamed && sendStarted && !sendCompleted;
    }
}
