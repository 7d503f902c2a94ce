// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.model;

import ottergauge.decision.api.RequestClass;

/**
 * The instants of a request, in microseconds.
 *
 * @param arrivedAt its arrival at this node
 * @param objectiveAt until when a response has its full value
 * @param valuableUntil until when a response has any value
 */
public record RequestTimes(long arrivedAt, long objectiveAt, long valuableUntil) {

    // The node can't time the way to the client and back: a response has to leave this early.
    private static final long CLIENT_RESPONSE_MARGIN_MICROS = 2_000;

    /**
     * Returns the instants of a request that arrives now.
     *
     * @param giveUpAt instant at which the client stops waiting
     * @param clientRetry whether it is a retry, whose objective counts from its first attempt
     */
    public static RequestTimes of(
            RequestClass requestClass, long now, long giveUpAt, boolean clientRetry) {
        long begunAt = clientRetry ? Math.min(now, giveUpAt - requestClass.deadline()) : now;
        long objectiveAt =
                begunAt + requestClass.latencyObjective() - CLIENT_RESPONSE_MARGIN_MICROS;
        long lastValue =
                requestClass.lateValueRatio() > 0 ? giveUpAt : Math.min(objectiveAt, giveUpAt);
        long valuableUntil = Math.max(now, lastValue);
        return new RequestTimes(
                now, Math.min(Math.max(now, objectiveAt), valuableUntil), valuableUntil);
    }

    /** Whether a response still has value past the objective. */
    public boolean hasLateValue() {
        return valuableUntil > objectiveAt;
    }
}
