// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.Optional;
import java.util.OptionalLong;
import ottergauge.decision.api.AttemptResult;
import ottergauge.protocol.Address;
import ottergauge.protocol.Content;
import ottergauge.protocol.EndpointList;
import ottergauge.routing.Event.ClientRequest;

/** An instruction from the router to the transport. */
public sealed interface Effect {

    /**
     * Writes the final response to a client.
     *
     * @param retryAfterMicros advice when to retry; 0 for none
     * @param closeAfter whether the connection is closed after it
     */
    record Respond(
            long client, int status, long retryAfterMicros, Content content, boolean closeAfter)
            implements Effect {}

    /** Logs why a client's request is invalid, and how many such lines were suppressed before. */
    record ReportInvalidRequest(long client, int status, String reason, int suppressed)
            implements Effect {}

    /**
     * Logs that a request failed although a server may have run it.
     *
     * @param attempts how many attempts were made
     * @param lastResult the result of the attempt that ended last; empty if none has ended
     * @param suppressed how many such lines were suppressed before
     */
    record ReportFailedRequest(
            String traceId,
            String requestClass,
            int attempts,
            Optional<AttemptResult> lastResult,
            int suppressed)
            implements Effect {}

    /** Accepts clients up to this number of connections. Further clients wait to be accepted. */
    record AcceptUpTo(int connections) implements Effect {}

    /** Closes a client's connection. */
    record CloseClient(long client, CloseReason reason) implements Effect {}

    /** Opens a connection to a server. */
    record ConnectUpstream(long connection, Address address, long timeoutMicros)
            implements Effect {}

    /**
     * Reads all input that has arrived on any connection, and confirms it with {@link
     * Event.PendingInputRead}. The router then decides on current information whether the attempt
     * is still to be sent.
     *
     * @param pausedClient the client whose streamed request the attempt carries, if its connection
     *     is not read while the request waits; what it has sent meanwhile is read too
     */
    record ReadPendingInput(long connection, long attempt, OptionalLong pausedClient)
            implements Effect {}

    /**
     * Writes a request to a server; the node waits for the response until the timeout.
     *
     * @param attempt the index of the attempt among the request's attempts
     */
    record Forward(long connection, ClientRequest request, int attempt, long timeoutMicros)
            implements Effect {}

    /**
     * Writes a request's head to a server, and its body as it arrives from the client.
     *
     * @param attempt the index of the attempt among the request's attempts
     */
    record ForwardStream(
            long connection, ClientRequest request, int attempt, long timeoutMicros, long client)
            implements Effect {}

    /** Starts to stream a response of unknown length that has been buffered so far. */
    record StreamResponse(long connection) implements Effect {}

    /** Relays a streamed response from a server's connection to a client. */
    record RelayResponse(long client, long connection, boolean closeAfter) implements Effect {}

    /**
     * Asks whether a client still has to read of the response that is being relayed to it; answered
     * by {@link Event.RelayChecked}.
     */
    record CheckRelay(long client) implements Effect {}

    /** Asks a server for its load. */
    record ProbeLoad(long connection) implements Effect {}

    /** Closes a connection to a server. */
    record CloseUpstream(long connection, CloseReason reason) implements Effect {}

    /**
     * Polls discovery for changes after a version, or for the complete list if the version is
     * negative; discovery may delay its answer by up to {@code maxWaitMicros}.
     */
    record PollDiscovery(long poll, Address address, long afterVersion, long maxWaitMicros)
            implements Effect {}

    /** Cancels a poll of discovery. A later answer to it is ignored. */
    record CancelPoll(long poll, CloseReason reason) implements Effect {}

    /** Fires {@link Event.TimerFired} after the delay. */
    record StartTimer(long delayMicros, Timer timer) implements Effect {}

    /** Answers an admin request and closes its connection. */
    record RespondToAdmin(long connection, int status, String text) implements Effect {}

    /** Stores that a server is in maintenance, and since when, for the node's other processes. */
    record StoreMaintenance(String server, long sinceMicros) implements Effect {}

    /** Removes a server's stored maintenance. */
    record ClearMaintenance(String server) implements Effect {}

    /**
     * Makes a request's trace id known to the node's other processes. If one of them has the same
     * id, {@link Event.TraceIdTaken} follows before the request is sent.
     *
     * @param request the id that the decision module knows the request by
     */
    record ClaimTraceId(String request, long traceIdHash) implements Effect {}

    /** Withdraws a trace id that was made known to the node's other processes. */
    record ReleaseTraceId(long traceIdHash) implements Effect {}

    /** Caches the list of endpoints for the node's next process. */
    record CacheEndpoints(EndpointList list) implements Effect {}

    /**
     * Accepts the clients that have connected by now, then stops: another process of the node
     * accepts further clients.
     */
    record StopAccepting() implements Effect {}

    /** Ends the process, since all requests are answered. */
    record Exit() implements Effect {}
}
