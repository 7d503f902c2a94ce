// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.limits;

import ottergauge.decision.api.LoadReport;

/**
 * Detects whether servers update their load reports often enough for the nodes to select servers by
 * them. If a server updates its report only once in several service times, all probes between two
 * updates return the same report. All nodes then send to the server whose report shows it as idle,
 * and avoid servers that have long become idle again.
 *
 * <p>The detector compares pairs of successive reports that a server gave within one service time,
 * and measures the ratio of equal pairs. A pair counts only if one of its reports has a value that
 * constantly changes at a busy server: a request rate, a latency, or a utilization below 90%. The
 * number of requests is not such a value, because it stays constant while the nodes keep a server
 * full.
 */
public final class ReportFreshness {

    // If more of the pairs are equal, reports are considered stale. Some pairs of current reports
    // are equal by chance, more often if the reports have fewer values.
    private static final double MAX_EQUAL_RATIO = 0.8;
    // A utilization of at least this value may stay constant at a busy server.
    private static final double FULL_UTILIZATION = 0.9;
    // The moving average covers about this number of pairs. It isn't used before it has as many.
    private static final double MEAN_PAIRS = 10;

    private double equalRatio;
    private int pairs;

    /**
     * Records two successive load reports of one server.
     *
     * @param gapMicros time between the two reports
     * @param serviceMicros mean service time of a request
     */
    public void recordPair(
            LoadReport before, LoadReport now, long gapMicros, double serviceMicros) {
        if (gapMicros <= serviceMicros && (hasChangingValue(before) || hasChangingValue(now))) {
            pairs++;
            equalRatio += ((before.equals(now) ? 1 : 0) - equalRatio) / Math.min(pairs, MEAN_PAIRS);
        }
    }

    private static boolean hasChangingValue(LoadReport report) {
        return report.inFlight() > 0
                && (report.requestsPerSecond() > 0
                        || report.latencyMicros() > 0
                        || (report.utilization() > 0 && report.utilization() < FULL_UTILIZATION));
    }

    /** Returns whether servers update their reports too seldom for selecting a server by them. */
    public boolean isStale() {
        return pairs >= MEAN_PAIRS && equalRatio > MAX_EQUAL_RATIO;
    }
}
