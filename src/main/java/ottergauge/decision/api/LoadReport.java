// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/**
 * A server's load as it reported it. An absent value is NaN.
 *
 * @param inFlight requests that the server holds
 * @param queued those of them that wait for a free worker
 * @param utilization busy part of its processors, 0 to 1
 * @param latencyMicros mean latency in microseconds
 * @param requestsPerSecond throughput
 */
public record LoadReport(
        double inFlight,
        double queued,
        double utilization,
        double latencyMicros,
        double requestsPerSecond) {

    /** A report without any value. */
    public static final LoadReport NONE =
            new LoadReport(Double.NaN, Double.NaN, Double.NaN, Double.NaN, Double.NaN);
}
