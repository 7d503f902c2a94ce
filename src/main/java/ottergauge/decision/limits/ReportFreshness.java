// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.limits;

import ottergauge.decision.api.LoadReport;

/**
 * Detects load reports that servers update too seldom for selecting a server by them. A report that
 * is updated once in several service times stays the same however often a node asks for it. All
 * nodes then send to the server that it shows as idle, and avoid another one that has long been
 * idle again.
 *
 * <p>The detector compares pairs of reports that a server gave within one service time, and
 * measures the ratio of equal pairs. Only reports with a value that constantly changes at a busy
 * server count: a request rate, a latency, or a utilization below 100%. The number of requests is
 * not such a value, because it stays constant while the nodes keep a server full.
 */
public final class ReportFreshness {

    // Two reports of current values may be equal by chance, more often if they hold fewer values.
    private static final double MAX_EQUAL_RATIO = 0.8;
    // A utilization over this may stay constant.
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

    /** Returns whether reports are too old for selecting a server by them. */
    public boolean isStale() {
        return pairs >= MEAN_PAIRS && equalRatio > MAX_EQUAL_RATIO;
    }
}
