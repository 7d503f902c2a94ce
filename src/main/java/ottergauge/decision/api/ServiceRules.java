// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/**
 * The parameters of response times, draining and slow start. All time spans are in microseconds.
 *
 * @param responseTolerance maximum time by which a response may miss the client's deadline
 * @param drainGracePeriod time from the start of draining after which no request may be sent to the
 *     server
 * @param initialCapacityRatio fraction of its capacity that a server has when it starts, 0 to 1
 * @param slowStartDuration time from a server's start until it has its full capacity
 * @param overloadMultiple a server in slow start is overloaded by requests that amount to this
 *     multiple of its current capacity within the overload window
 * @param overloadWindow time window over which requests to a server in slow start are counted for
 *     that
 */
public record ServiceRules(
        long responseTolerance,
        long drainGracePeriod,
        double initialCapacityRatio,
        long slowStartDuration,
        double overloadMultiple,
        long overloadWindow) {}
