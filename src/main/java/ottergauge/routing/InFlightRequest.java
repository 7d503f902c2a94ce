// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.ArrayList;
import java.util.List;
import ottergauge.decision.api.AttemptResult;
import ottergauge.decision.api.RequestClass;
import ottergauge.routing.Event.ClientRequest;

/**
 * A request that the node has accepted, until it is answered and none of its attempts is
 * outstanding. Times and durations are in microseconds.
 */
final class InFlightRequest {
    /** The id that the decision module knows it by. */
    final String id;

    final long client;

    /** Its class when it was accepted. Later changes of the settings do not affect it. */
    final RequestClass requestClass;

    final ClientRequest content;

    /** How long the client waits after it has sent the last byte of its request. */
    final long timeout;

    long deadline;

    /**
     * Whether it is too large to be buffered. It is then forwarded as it arrives, and can be sent
     * only once.
     */
    final boolean streamed;

    /** Whether its last byte has arrived. */
    boolean complete;

    /**
     * Whether the node doesn't read its body for now, because no server is chosen or the server
     * doesn't accept more. The client may meanwhile have written all of it.
     */
    boolean bodyBlocked;

    /** What of its body the client may have written and the node has not read. */
    final UploadBacklog backlog = new UploadBacklog();

    /** The attempt whose response is being relayed to the client, or null. */
    Attempt relaying;

    /**
     * An attempt that was given up although its response has begun. It is streamed unless another
     * attempt is served. Null if there is none.
     */
    Attempt fallback;

    /** Whether the fallback is not held back any longer. */
    boolean fallbackDue;

    /** The final response if the fallback, which is about to be streamed, ends first; or null. */
    Refusal postponedRefusal;

    final List<Attempt> outstanding = new ArrayList<>(1);

    /** The number of attempts that the decision module has requested. */
    int attemptCount;

    /** The result of the attempt that ended last; null if none has ended. */
    AttemptResult lastResult;

    /** Whether a server may have executed it. */
    boolean mayHaveRun;

    /** Whether its client has got a server's response to it. */
    boolean served;

    /** Whether it is answered, or its client has disconnected. */
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
