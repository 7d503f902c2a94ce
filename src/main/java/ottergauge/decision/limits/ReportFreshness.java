// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.limits;

import ottergauge.decision.api.LoadReport;

/**
 * Whether load reports that are asked for tell what a server holds now. One that is renewed once in
 * several service times reads the same however often it is asked for: all nodes then send to the
 * server that it shows idle, and hold back from one that has long been free again. Told by how many
 * of two reports of a server, asked for within one service time, are the same to the last figure.
 * Only those count that hold a figure which never stands still at a server at work: a rate, a time,
 * a busy part short of all. The number of requests does stand still where nodes keep a server full.
 */
public final class ReportFreshness {

    // Figures of a live report may be the same twice by chance, more so the fewer it has.
    private static final double STALE = 0.8;
    // A busy part over this may stand still.
    private static final double FULL = 0.9;
    // A running mean over about so many pairs, which has to have seen as many.
    private static final double PAIRS = 10;

    private double same;
    private int pairs;

    /**
     * Two reports of one server and the time between them, where a request takes {@code service}.
     */
    public void saw(LoadReport before, LoadReport now, long gap, double service) {
        if (gap <= service && (moves(before) || moves(now))) {
            pairs++;
            same += ((before.equals(now) ? 1 : 0) - same) / Math.min(pairs, PAIRS);
        }
    }

    private static boolean moves(LoadReport report) {
        return report.inFlight() > 0
                && (report.requestsPerSecond() > 0
                        || report.latencyMicros() > 0
                        || (report.utilization() > 0 && report.utilization() < FULL));
    }

    /** Whether reports are too old to choose a server by. */
    public boolean stale() {
        return pairs >= PAIRS && same > STALE;
    }
}
