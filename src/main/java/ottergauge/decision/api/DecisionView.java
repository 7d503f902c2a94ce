// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/** Queries to the decision engine, which are possible at any time and don't change its state. */
public interface DecisionView {

    /** Returns how the engine treats a server at this instant, in microseconds. */
    EndpointStatus endpointStatus(long at, long server);

    /** Returns whether an attempt that the engine requested earlier may start at this instant. */
    boolean mayBegin(long at, String id, int attempt);

    /**
     * Returns whether a request might get another attempt if this one ended without a response at
     * this instant. If not, the request would be rejected or failed.
     */
    boolean mightRetry(long at, String id, int attempt);
}
