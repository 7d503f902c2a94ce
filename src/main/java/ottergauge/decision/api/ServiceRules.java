// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/**
 * The figures of the rules on response times, draining and slow start. All spans are microseconds.
 *
 * @param responseTolerance span by which a response may miss the client's deadline
 * @param drainGracePeriod span after which nothing may be sent to a draining server any more
 * @param initialCapacityRatio part of its capacity that a server has when it starts, 0 to 1
 * @param slowStartDuration span from a server's start until it has its full capacity
 * @param overloadMultiple multiple of its present capacity at which a warming server falls over
 * @param overloadWindow span over which requests to a warming server count together
 */
public record ServiceRules(
        long responseTolerance,
        long drainGracePeriod,
        double initialCapacityRatio,
        long slowStartDuration,
        double overloadMultiple,
        long overloadWindow) {}
