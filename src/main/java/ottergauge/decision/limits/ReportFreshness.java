// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.limits;

import ottergauge.decision.api.LoadReport;

/**
 * Detects load reports that are renewed too seldom to choose a server by. One that is renewed once
 * in several service times reads the same however often it is asked for: all nodes then send to the
 * server that it shows idle, and hold back from one that has long been free again.
 *
 * <p>Judged by how many of two reports of a server, asked for within one service time, are equal.
 * Only those count that hold a value which never stands still at a busy server: a rate, a latency,
 * a utilization short of all. The number of requests does stand still where nodes keep a server
 * full.
 */
public final class ReportFreshness {

    // Values of a live report may be equal twice by chance, more so the fewer it has.
    private static final double MAX_EQUAL_RATIO = 0.8;
    // A utilization over this may stand still.
    private static final double FULL_UTILIZATION = 0.9;
    // The running mean is over about so many pairs, and says nothing before it has seen as many.
    private static final double MEAN_PAIRS = 10;

    private double equalRatio;
    private int pairs;

    /**
     * Takes two successive reports of one server.
     *
     * @param gapMicros the span between them
     * @param serviceMicros what a request takes
     */
    public void recordPair(
            LoadReport before, LoadReport now, long gapMicros, double serviceMicros) {
        if (gapMicros <= serviceMicros && (isMoving(before) || isMoving(now))) {
            pairs++;
            equalRatio += ((before.equals(now) ? 1 : 0) - equalRatio) / Math.min(pairs, MEAN_PAIRS);
        }
    }

    private static boolean isMoving(LoadReport report) {
        return report.inFlight() > 0
                && (report.requestsPerSecond() > 0
                        || report.latencyMicros() > 0
                        || (report.utilization() > 0 && report.utilization() < FULL_UTILIZATION));
    }

    /** Whether reports are too old to choose a server by. */
    public boolean isStale() {
        return pairs >= MEAN_PAIRS && equalRatio > MAX_EQUAL_RATIO;
    }
}
