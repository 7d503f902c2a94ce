// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

import ottergauge.decision.api.RequestClass;

/**
 * The arrival time and the deadlines of a request, in microseconds.
 *
 * @param arrivedAt instant at which the request arrived at this node
 * @param objectiveAt instant until which a response has its full value
 * @param valuableUntil instant until which a response has any value
 */
public record RequestTimes(long arrivedAt, long objectiveAt, long valuableUntil) {

    // The node can't measure how long a request takes from the client to the node and the response
    // back. It therefore aims to send the response this much before the latency objective ends.
    private static final long CLIENT_RESPONSE_MARGIN_MICROS = 2_000;

    /**
     * Returns the times of a request that arrives now.
     *
     * @param giveUpAt instant at which the client stops waiting
     * @param clientRetry whether the request is a client's retry. Its latency objective is then
     *     measured from the client's first attempt, which is assumed to have been sent the class's
     *     deadline before {@code giveUpAt}
     */
    public static RequestTimes of(
            RequestClass requestClass, long now, long giveUpAt, boolean clientRetry) {
        long startedAt = clientRetry ? Math.min(now, giveUpAt - requestClass.deadline()) : now;
        long objectiveAt =
                startedAt + requestClass.latencyObjective() - CLIENT_RESPONSE_MARGIN_MICROS;
        long lastValueAt =
                requestClass.lateValueRatio() > 0 ? giveUpAt : Math.min(objectiveAt, giveUpAt);
        long valuableUntil = Math.max(now, lastValueAt);
        return new RequestTimes(
                now, Math.min(Math.max(now, objectiveAt), valuableUntil), valuableUntil);
    }

    /** Returns whether a response still has value after the latency objective. */
    public boolean hasLateValue() {
        return valuableUntil > objectiveAt;
    }
}
