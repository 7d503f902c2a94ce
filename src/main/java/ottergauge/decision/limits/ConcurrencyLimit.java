// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.limits;

/**
 * How many attempts one node may have outstanding at one server, learnt from how they end: additive
 * increase, multiplicative decrease (Chiu and Jain, 1989). It binds only once the server has
 * rejected something or answered too late to be of use, and stops to bind when it has grown past
 * what the node wants.
 *
 * <p>A limit under one is a rate: with so many nodes that each may have a part of a request
 * outstanding, one is sent after so many service times. The increase is the node's part of one
 * request for all nodes together, so that the sum grows alike whatever their number. Instants and
 * spans are microseconds.
 */
public final class ConcurrencyLimit {

    // Half would idle a server that is full only now and then, as one that rejects early is.
    private static final double DECREASE_RATIO = 0.7;
    // The lowest limit of all nodes together: one request in five service times.
    private static final double MIN_FLEET_LIMIT = 0.2;
    // A limit so many times over what is outstanding doesn't bind and is dropped.
    private static final double UNBINDING_MULTIPLE = 4;
    private static final double UNLIMITED = Double.POSITIVE_INFINITY;
    private static final long NEVER = Long.MIN_VALUE / 2;

    private double limit = UNLIMITED;
    private long decreasedAt = NEVER;
    private long sentAt = NEVER;

    /**
     * Whether another attempt may be sent now.
     *
     * @param outstanding attempts of this node at the server
     * @param serviceMicros what a request takes
     */
    public boolean permits(long now, int outstanding, double serviceMicros) {
        return limit >= 1
                ? outstanding < limit
                : outstanding == 0 && (now - sentAt) * limit >= serviceMicros;
    }

    /** Whether there is a limit at all. */
    public boolean isBinding() {
        return limit < UNLIMITED;
    }

    /** Notes that an attempt is sent. */
    public void recordSend(long now) {
        sentAt = now;
    }

    /**
     * Takes a rejection or a response that came too late. The limit decreases once in a service
     * time, since the attempts beside this one met the same overload.
     *
     * @param outstandingBefore attempts that were outstanding, this one included
     * @param sharingNodes nodes that send to the server
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
     * Takes a response in good time: the limit increases if it was used.
     *
     * @param outstanding attempts that are outstanding besides
     * @param sharingNodes nodes that send to the server
     */
    public void recordSuccess(int outstanding, double sharingNodes) {
        if (isBinding() && outstanding + 1 >= limit) {
            limit += 1 / (sharingNodes * Math.max(1, limit));
        } else if (limit > UNBINDING_MULTIPLE * Math.max(1, outstanding)) {
            limit = UNLIMITED;
        }
    }

    /** Returns the limit in attempts; infinite while it doesn't bind. */
    public double limit() {
        return limit;
    }
}
