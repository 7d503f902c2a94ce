// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.limits;

/**
 * What one node may have out at one server, learnt from how its attempts end: additive increase,
 * multiplicative decrease (Chiu and Jain, 1989). It binds only once the server has turned something
 * away or answered too late to be of use, and stops to bind when it has grown past what the node
 * wants.
 *
 * <p>A limit under one is a pace: with so many nodes that each may have a part of a request out,
 * one is sent after so many service times. The step up is the node's part of one request for all
 * nodes together, so that the sum grows alike whatever their number. Instants and spans are
 * microseconds.
 */
public final class ConcurrencyLimit {

    // What is left of the limit after a congestion: harsher than half would idle a server that is
    // only full
    // now and then, as servers that turn away early are.
    private static final double CUT = 0.7;
    // The slowest pace: one request in so many service times, all nodes together.
    private static final double LEAST = 0.2;
    // A limit so many times over what is out does not bind and is forgotten.
    private static final double LOOSE = 4;
    private static final double UNBOUND = Double.POSITIVE_INFINITY;

    private double limit = UNBOUND;
    private long cutAt = Long.MIN_VALUE / 2;
    private long sentAt = Long.MIN_VALUE / 2;

    /**
     * Whether one more may go out now, beside {@code out} of them, where a request takes {@code
     * service}.
     */
    public boolean allows(long now, int out, double service) {
        return limit >= 1 ? out < limit : out == 0 && (now - sentAt) * limit >= service;
    }

    public boolean binds() {
        return limit < UNBOUND;
    }

    /** One has been sent. */
    public void sent(long now) {
        sentAt = now;
    }

    /**
     * The server turned one away, or answered it too late: cut once in a service time, since what
     * is out beside it met the same crowd.
     */
    public void congested(long now, int outBefore, double service, double sharing) {
        if (now - cutAt >= service) {
            cutAt = now;
            limit = Math.max(LEAST / sharing, CUT * Math.min(limit, Math.max(1, outBefore)));
        }
    }

    /**
     * One ended in good time while {@code outBefore} were out with it: a step up if the limit was
     * used.
     */
    public void served(int outBefore, double sharing) {
        if (binds() && outBefore + 1 >= limit) {
            limit += 1 / (sharing * Math.max(1, limit));
        } else if (limit > LOOSE * Math.max(1, outBefore)) {
            limit = UNBOUND;
        }
    }

    /** The limit, for figures: infinite while it does not bind. */
    public double limit() {
        return limit;
    }
}
