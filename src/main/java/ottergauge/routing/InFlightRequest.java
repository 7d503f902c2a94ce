// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.ArrayList;
import java.util.List;
import ottergauge.decision.api.RequestClass;
import ottergauge.routing.Event.ClientRequest;

/** A request that the node has taken, until it is answered and none of its attempts is out. */
final class InFlightRequest {
    final String id;
    final long client;

    /** The class that it was taken with, whatever its name stands for later. */
    final RequestClass type;

    final ClientRequest request;

    /** How long the client waits from the last byte of its request. */
    final long waits;

    long giveUpAt;

    /** It is too large to be kept: passed on as it comes, it can be sent once. */
    final boolean flows;

    /** Whether its last byte has come. */
    boolean whole;

    /** The attempt whose answer is being passed on. */
    Attempt passing;

    final List<Attempt> out = new ArrayList<>(1);
    int attempts;
    boolean over;

    InFlightRequest(
            String id,
            long client,
            RequestClass type,
            ClientRequest request,
            long giveUpAt,
            long waits,
            boolean flows) {
        this.id = id;
        this.client = client;
        this.type = type;
        this.request = request;
        this.giveUpAt = giveUpAt;
        this.waits = waits;
        this.flows = flows;
        whole = !flows;
    }
}
