// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/**
 * A class of requests with the same service objectives. All time spans are in microseconds.
 *
 * @param name unique among the classes of one {@link DecisionSettings}
 * @param idempotency whether a further attempt may be sent
 * @param deduplicationScope servers that share the idempotency keys of keyed requests
 * @param latencyObjective time after arrival within which a response has its full value
 * @param deadline usual time after which the client stops waiting
 * @param deduplicationWindow how long repeats of a keyed request are dropped
 * @param priorityWeight value of a response within the latency objective, relative to other classes
 * @param lateValueRatio fraction of the priority weight that a later response still has, 0 to 1
 * @param streaming whether the response is streamed to the client as it arrives
 */
public record RequestClass(
        String name,
        Idempotency idempotency,
        DeduplicationScope deduplicationScope,
        long latencyObjective,
        long deadline,
        long deduplicationWindow,
        double priorityWeight,
        double lateValueRatio,
        boolean streaming) {}
