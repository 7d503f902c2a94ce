// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.ArrayList;
import java.util.List;
import ottergauge.decision.api.RequestClass;
import ottergauge.routing.Event.ClientRequest;

/**
 * A request that the node has accepted, until it is answered and none of its attempts is
 * outstanding. Instants and spans are microseconds.
 */
final class InFlightRequest {
    /** Its id for the decision module. */
    final String id;

    final long client;

    /** The class that it was accepted with, whatever the settings say of that name later. */
    final RequestClass requestClass;

    final ClientRequest content;

    /** How long the client waits from the last byte of its request. */
    final long timeout;

    long deadline;

    /** Too large to be buffered: it is forwarded as it arrives and can be sent once. */
    final boolean streamed;

    /** Whether its last byte has arrived. */
    boolean complete;

    /** The attempt whose response is being relayed to the client, or null. */
    Attempt relaying;

    final List<Attempt> outstanding = new ArrayList<>(1);

    /** How many attempts the decision module has asked for. */
    int attemptCount;

    /** Whether it is answered, or its client has gone. */
    boolean finished;

    InFlightRequest(
            String id,
            long client,
            RequestClass requestClass,
            ClientRequest content,
            long deadline,
            long timeout,
            boolean streamed) {
        this.id = id;
        this.client = client;
        this.requestClass = requestClass;
        this.content = content;
        this.deadline = deadline;
        this.timeout = timeout;
        this.streamed = streamed;
        complete = !streamed;
    }
}
