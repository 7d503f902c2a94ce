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
 * Something that happened at the node's edge. Connections are known by the numbers given to them.
 */
public sealed interface Event {

    /** A request as it came; method, path and content go on unchanged. */
    record ClientRequest(RequestFields fields, String method, String uri, Content content) {}

    /**
     * A server's whole answer; {@code reusable} says that its connection may carry another request.
     */
    record ServerAnswer(
            int status, boolean neverRan, LoadReport report, Content content, boolean reusable) {}

    record ClientConnected(long client) implements Event {}

    /** The head of a request has come. */
    record RequestBegan(long client) implements Event {}

    /** The last byte of a request has come, at the most so long ago. */
    record RequestRead(long client, ClientRequest request, long waited) implements Event {}

    /** The first bytes of a head have come. */
    record HeadBegan(long client) implements Event {}

    /** So many bytes of a body have moved, from the client or to it, since this was told last. */
    record BodyMoved(long client, long bytes) implements Event {}

    /** A request too large to be kept; its content is what came first, and the rest flows. */
    record RequestFlows(long client, ClientRequest request) implements Event {}

    /** The last byte of a request that flows has come. */
    record RequestEnded(long client) implements Event {}

    /** What came is no request that the node takes; the status says why. */
    record RequestUnreadable(long client, int status, String why) implements Event {}

    /** A client asked how the node is: whether it takes new clients, or only whether it lives. */
    record HealthAsked(long client, boolean readiness) implements Event {}

    /** The last byte of the answer is written, or writing it failed. */
    record AnswerWritten(long client) implements Event {}

    record ClientClosed(long client) implements Event {}

    record ServerConnected(long connection) implements Event {}

    record ConnectFailed(long connection) implements Event {}

    /** What had come when this connection was about to carry something has been read. */
    record AllRead(long connection) implements Event {}

    /** The last byte of the connection's request is written. */
    record RequestWritten(long connection) implements Event {}

    record AnswerRead(long connection, ServerAnswer answer) implements Event {}

    /** The head of an answer has come that does not tell its length. */
    record AnswerOpen(long connection) implements Event {}

    /** An answer too large to be kept, and how long ago its head came; the rest is not read yet. */
    record AnswerFlows(long connection, ServerAnswer answer, long sinceHead) implements Event {}

    /** The last byte of an answer that flows is passed on to the client's connection. */
    record AnswerEnded(long connection, boolean reusable) implements Event {}

    /** A connection has ended; {@code spoilt} because what came on it was no answer. */
    record ServerClosed(long connection, boolean spoilt) implements Event {}

    record ListRead(long call, EndpointList list) implements Event {}

    record ListCallFailed(long call) implements Event {}

    /**
     * A call was answered by a list that is too large, or no list: the one before stays in force.
     */
    record ListNotTaken(long call) implements Event {}

    /**
     * What all nodes share has reached this version: a change of the list, or a whole one, and
     * other settings, if they have changed. It comes in force at one instant.
     */
    record StateChanged(EndpointList servers, Optional<NodeSettings> settings, LogPosition version)
            implements Event {}

    /** The node has been given a new configuration. */
    record Reconfigured(NodeConfig config) implements Event {}

    /** The node takes clients from now on. */
    record Serving() implements Event {}

    /** An operator's call at the door. */
    record OperatorAsked(long caller, AdminRequest call) implements Event {}

    /** The servers held out by this node, by name and since when, as its processes keep them. */
    record HeldRead(Map<String, Long> since) implements Event {}

    record TimerFired(Timer timer) implements Event {}

    /**
     * Whether another process of this node lives beside this one, and how many connections it has
     * open.
     */
    record CompanySeen(boolean accompanied, int connections) implements Event {}

    /**
     * The node has been told to stop; {@code succeeded}: another process of it takes its clients.
     */
    record StopAsked(boolean succeeded) implements Event {}
}
