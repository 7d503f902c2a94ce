// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/**
 * The load that a server reported. An absent value is NaN.
 *
 * @param inFlight number of requests that the server holds
 * @param queued number of those requests that wait for a free worker
 * @param utilization busy fraction of its processors, 0 to 1
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
