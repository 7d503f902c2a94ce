// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.limits;

/**
 * How many requests a server holds when all of its cores are busy: as many as these where requests
 * only work, and many times as many where they wait on others most of their time. Learnt from what
 * is held for each part of the cores that is busy.
 */
public final class CapacityEstimate {

    // So many servers' full work in reports tells a room; of twice as much the older half is
    // forgotten.
    private static final double WORK_SEEN = 4;
    // What a report may be out for noise.
    private static final double NOISE = 0.3;

    private double held;
    private double busy;
    private boolean known;

    /**
     * A report of so many requests and this busy part, which says as much as {@code says} usual
     * ones.
     */
    public void saw(double requests, double busyPart, double says) {
        held += says * requests;
        busy += says * busyPart;
        known |= says > 1 || busy > WORK_SEEN;
        if (busy > 2 * WORK_SEEN) {
            held /= 2;
            busy /= 2;
        }
    }

    /** Whether enough was seen to go by. */
    public boolean known() {
        return known;
    }

    /**
     * The room, with what is held elsewhere for what this one has not shown yet; 1 at the least.
     */
    public double size(double elsewhere) {
        double unseen = Math.max(0, WORK_SEEN - busy);
        return Math.floor(Math.max(1, (held + unseen * elsewhere) / (busy + unseen) + NOISE));
    }
}
