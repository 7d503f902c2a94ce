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
 * Something that happened at the node's edge: input of {@link Router#handle}. Connections, polls
 * and admin connections are known by the numbers that the router or the transport gave them.
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
     * @param ageMicros an upper bound of the time since its last byte arrived
     */
    record RequestReceived(long client, ClientRequest request, long ageMicros) implements Event {}

    /** Bytes of a body have been read from a client or written to it since the last such event. */
    record BodyProgress(long client, long bytes) implements Event {}

    /** A request is too large to be buffered: its content is the first part, the rest streams. */
    record StreamedRequestStarted(long client, ClientRequest request) implements Event {}

    /** The last byte of a streamed request has arrived. */
    record StreamedRequestCompleted(long client) implements Event {}

    /** A client sent something that is no acceptable request; it is answered with the status. */
    record InvalidRequest(long client, int status, String reason) implements Event {}

    /** A client asked for the node's health: its readiness, or only its liveness. */
    record HealthRequested(long client, boolean readiness) implements Event {}

    /** The last byte of a response to a client is written, or writing it failed. */
    record ResponseWritten(long client) implements Event {}

    /** A client's connection has ended. */
    record ClientClosed(long client) implements Event {}

    /** A connection to a server is established. */
    record UpstreamConnected(long connection) implements Event {}

    /** A connection to a server could not be established. */
    record UpstreamConnectFailed(long connection) implements Event {}

    /** The answer to {@link Effect.ReadPendingInput}: all input that had arrived is read. */
    record PendingInputRead(long connection) implements Event {}

    /** The last byte of the request on a connection to a server is written. */
    record RequestWritten(long connection) implements Event {}

    /** A response has arrived completely. */
    record ResponseReceived(long connection, ServerResponse response) implements Event {}

    /** The head of a response of unknown length has arrived. */
    record UnsizedResponseStarted(long connection) implements Event {}

    /** A response is too large to be buffered: its head came so long ago, its rest is not read. */
    record StreamedResponseStarted(long connection, ServerResponse response, long sinceHeadMicros)
            implements Event {}

    /** The last byte of a streamed response is handed to the client's connection. */
    record StreamedResponseCompleted(long connection, boolean reusable) implements Event {}

    /**
     * A connection to a server has ended.
     *
     * @param malformed whether what the server sent was no HTTP response
     */
    record UpstreamClosed(long connection, boolean malformed) implements Event {}

    /** Discovery has answered a poll. */
    record EndpointListReceived(long poll, EndpointList list) implements Event {}

    /** A poll of discovery ended without an answer. */
    record DiscoveryPollFailed(long poll) implements Event {}

    /** Discovery's answer is too large or malformed: the list before it stays effective. */
    record EndpointListRejected(long poll) implements Event {}

    /**
     * A version of the state that all nodes share: a change of the endpoints or a complete list,
     * and settings if they have changed. All of it takes effect at one instant.
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
     * The servers in maintenance, as the node's processes have stored them: by name, since when in
     * microseconds.
     */
    record MaintenanceLoaded(Map<String, Long> sinceByServer) implements Event {}

    /** A timer of {@link Effect.StartTimer} has expired. */
    record TimerFired(Timer timer) implements Event {}

    /**
     * Whether another process of this node runs beside this one during a hot restart, and how many
     * connections it has open.
     */
    record HotRestartPeerSeen(boolean present, int connections) implements Event {}

    /**
     * The node was told to stop.
     *
     * @param handover whether another process of the node accepts its clients from now on
     */
    record ShutdownRequested(boolean handover) implements Event {}
}
