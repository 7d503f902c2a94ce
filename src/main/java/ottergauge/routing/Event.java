// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.Map;
import java.util.Optional;
import ottergauge.decision.api.LoadReport;
import ottergauge.protocol.Content;
import ottergauge.protocol.EndpointList;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.NodeSettings;
import ottergauge.protocol.RequestFields;
import ottergauge.resources.LogPosition;

/**
 * An input of {@link Router#handle}: something that the transport reports to the router.
 * Connections, polls and admin connections are identified by numbers that the router or the
 * transport assigned to them.
 */
public sealed interface Event {

    /** A client's request; method, URI and content are forwarded unchanged. */
    record ClientRequest(RequestFields fields, String method, String uri, Content content) {}

    /**
     * A server's response.
     *
     * @param neverRan whether the server says that it did not run the request
     * @param reusable whether the connection may carry another request
     */
    record ServerResponse(
            int status, boolean neverRan, LoadReport report, Content content, boolean reusable) {}

    /** A client has connected. */
    record ClientConnected(long client) implements Event {}

    /** The first bytes of a request's head have arrived. */
    record RequestHeadStarted(long client) implements Event {}

    /** The head of a request has arrived. */
    record RequestHeadReceived(long client) implements Event {}

    /**
     * A request has arrived completely.
     *
     * @param ageMicros an upper bound on the time since its last byte arrived
     */
    record RequestReceived(long client, ClientRequest request, long ageMicros) implements Event {}

    /** Bytes of a body have been read from a client or written to it since the last such event. */
    record BodyProgress(long client, long bytes) implements Event {}

    /**
     * The buffer for the body of a client's request has grown to this size. Small buffers are not
     * reported.
     */
    record BodyBufferGrown(long client, long bytes) implements Event {}

    /**
     * A request is too large to be buffered. Its content is the first part of the body; the rest is
     * streamed.
     */
    record StreamedRequestStarted(long client, ClientRequest request) implements Event {}

    /**
     * The node stops reading a streamed request, since no server is chosen or the server accepts no
     * more of it for now, or it reads on.
     */
    record RequestBodyFlowChanged(long client, boolean blocked) implements Event {}

    /** The last byte of a streamed request has arrived. */
    record StreamedRequestCompleted(long client) implements Event {}

    /** A client sent an invalid request, which is answered with this status. */
    record InvalidRequest(long client, int status, String reason) implements Event {}

    /** A client asked for the node's health: its readiness, or only its liveness. */
    record HealthRequested(long client, boolean readiness) implements Event {}

    /** The last byte of a response to a client is written, or writing it failed. */
    record ResponseWritten(long client) implements Event {}

    /**
     * The reply to {@link Effect.CheckRelay}.
     *
     * @param clientBehind whether there are bytes that the client's connection does not accept;
     *     otherwise the relay waits for the server
     */
    record RelayChecked(long client, boolean clientBehind) implements Event {}

    /** A client's connection has ended. */
    record ClientClosed(long client) implements Event {}

    /** A connection to a server is established. */
    record UpstreamConnected(long connection) implements Event {}

    /** A connection to a server could not be established. */
    record UpstreamConnectFailed(long connection) implements Event {}

    /**
     * The reply to {@link Effect.ReadPendingInput}: all input that had arrived has been read.
     *
     * @param clientCaughtUp whether this includes everything that the paused client has sent; false
     *     if there was too much of it, so that its disconnection may have gone unnoticed
     */
    record PendingInputRead(long connection, long attempt, boolean clientCaughtUp)
            implements Event {}

    /** The last byte of the request on a connection to a server is written. */
    record RequestWritten(long connection) implements Event {}

    /** A response has arrived completely. */
    record ResponseReceived(long connection, ServerResponse response) implements Event {}

    /**
     * The head of a response of unknown length has arrived.
     *
     * @param neverRan whether the server says that it did not run the request
     */
    record UnsizedResponseStarted(long connection, int status, boolean neverRan) implements Event {}

    /** Bytes of the body of a response of unknown length have arrived together with its head. */
    record UnsizedBodyStarted(long connection) implements Event {}

    /**
     * More of a response of unknown length, which is being buffered, has arrived than what came
     * with its head. Reported once for each response.
     */
    record UnsizedResponseProgressed(long connection) implements Event {}

    /**
     * A response is too large to be buffered; the rest of its body has not been read.
     *
     * @param sinceHeadMicros how long ago its head arrived
     */
    record StreamedResponseStarted(long connection, ServerResponse response, long sinceHeadMicros)
            implements Event {}

    /** The last byte of a streamed response has been passed to the client's connection. */
    record StreamedResponseCompleted(long connection, boolean reusable) implements Event {}

    /**
     * A connection to a server has ended.
     *
     * @param malformed whether the server sent something that is not an HTTP response
     */
    record UpstreamClosed(long connection, boolean malformed) implements Event {}

    /** Discovery has answered a poll. */
    record EndpointListReceived(long poll, EndpointList list) implements Event {}

    /** A poll of discovery ended without an answer. */
    record DiscoveryPollFailed(long poll) implements Event {}

    /** Discovery's answer is too large or malformed; the previous list stays effective. */
    record EndpointListRejected(long poll) implements Event {}

    /**
     * A version of the state that all nodes share: a change of the endpoints or a complete list,
     * and settings if they have changed. Endpoints and settings take effect at the same time.
     */
    record StateChanged(
            EndpointList endpoints, Optional<NodeSettings> settings, LogPosition version)
            implements Event {}

    /** The configuration file was read again. */
    record Reconfigured(NodeConfig config) implements Event {}

    /** The node accepts clients from now on. */
    record ServingStarted() implements Event {}

    /** A request on an admin connection. */
    record AdminRequestReceived(long connection, AdminRequest request) implements Event {}

    /**
     * The servers in maintenance, as the node's processes have stored them: the start of the
     * maintenance in microseconds, by server name.
     */
    record MaintenanceLoaded(Map<String, Long> sinceByServer) implements Event {}

    /** A timer of {@link Effect.StartTimer} has expired. */
    record TimerFired(Timer timer) implements Event {}

    /**
     * Another process of this node has the trace id of a request that was accepted here; see {@link
     * Effect.ClaimTraceId}.
     */
    record TraceIdTaken(String request) implements Event {}

    /**
     * Whether another process of this node runs beside this one during a hot restart, and how many
     * connections it has open.
     */
    record HotRestartPeerSeen(boolean present, int connections) implements Event {}

    /**
     * The node's process received a request to stop.
     *
     * @param handover whether another process of the node accepts its clients from now on
     */
    record ShutdownRequested(boolean handover) implements Event {}
}
