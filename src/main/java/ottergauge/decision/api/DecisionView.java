// SPDX-License-Identifier: Apache-2.0
package ottergauge.decision.api;

/** What may be asked of the decision engine at any time. Asking changes nothing. */
public interface DecisionView {

    /** How a server is treated at this instant, in microseconds. */
    EndpointStatus endpointStatus(long at, long server);

    /** Whether an attempt that was asked for earlier may still begin at this instant. */
    boolean mayBegin(long at, String id, int attempt);
}
