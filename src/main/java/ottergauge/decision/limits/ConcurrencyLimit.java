// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.limits;

/**
 * Limits the attempts that one node may have outstanding at one server. The limit adapts to the
 * results of the attempts by additive increase and multiplicative decrease (Chiu and Jain, 1989).
 * It is set when the server rejects an attempt or responds too late, and is removed when it has
 * grown to several times the number of outstanding attempts.
 *
 * <p>A limit under 1 is a rate: the node sends one attempt at a time, one per 1/limit service
 * times. A node whose limit is reached increases it by 1/n for each successful round of as many
 * attempts as the limit, where n is the number of nodes that send to the server. The sum of the
 * nodes' limits therefore grows by one request per round with any number of nodes. Instants and
 * time spans are in microseconds.
 */
public final class ConcurrencyLimit {

    // The limit is multiplied by this ratio. With a ratio of one half, a server that is full only
    // now and then, such as one that rejects requests early, would often be idle.
    private static final double DECREASE_RATIO = 0.7;
    // The minimum limit of all nodes together: one request per five service times.
    private static final double MIN_FLEET_LIMIT = 0.2;
    // A limit of more than this multiple of the outstanding attempts has no effect and is removed.
    private static final double UNBINDING_MULTIPLE = 4;
    private static final double UNLIMITED = Double.POSITIVE_INFINITY;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private double limit = UNLIMITED;
    private long decreasedAt = NEVER;
    private long sentAt = NEVER;

    /**
     * Returns whether another attempt may be sent now.
     *
     * @param outstanding number of this node's outstanding attempts at the server
     * @param serviceMicros mean service time of a request
     */
    public boolean permits(long now, int outstanding, double serviceMicros) {
        return limit >= 1
                ? outstanding < limit
                : outstanding == 0 && (now - sentAt) * limit >= serviceMicros;
    }

    /** Returns whether a limit is set. */
    public boolean isBinding() {
        return limit < UNLIMITED;
    }

    /** Records that an attempt is sent. */
    public void recordSend(long now) {
        sentAt = now;
    }

    /**
     * Records a rejection or a response that came too late. The limit decreases at most once per
     * service time, because the attempts outstanding at the same time met the same overload.
     *
     * @param outstandingBefore number of attempts that were outstanding, including this one
     * @param sharingNodes number of nodes that send to the server
     */
    public void recordCongestion(
            long now, int outstandingBefore, double serviceMicros, double sharingNodes) {
        if (now - decreasedAt >= serviceMicros) {
            decreasedAt = now;
            limit =
                    Math.max(
                            MIN_FLEET_LIMIT / sharingNodes,
                            DECREASE_RATIO * Math.min(limit, Math.max(1, outstandingBefore)));
        }
    }

    /**
     * Records a response that came in time. The limit increases if it was reached.
     *
     * @param outstanding number of other attempts that are outstanding
     * @param sharingNodes number of nodes that send to the server
     */
    public void recordSuccess(int outstanding, double sharingNodes) {
        if (isBinding() && outstanding + 1 >= limit) {
            limit += 1 / (sharingNodes * Math.max(1, limit));
        } else if (limit > UNBINDING_MULTIPLE * Math.max(1, outstanding)) {
            limit = UNLIMITED;
        }
    }

    /** Returns the limit in attempts, or infinity if none is set. */
    public double limit() {
        return limit;
    }
}
