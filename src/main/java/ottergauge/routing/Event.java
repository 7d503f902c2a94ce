// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.Map;
import ottergauge.DecisionApi.LoadReport;
import ottergauge.protocol.Content;
import ottergauge.protocol.HostList;
import ottergauge.protocol.NodeConfig;
import ottergauge.protocol.RequestFields;

/** Something that happened at the node's edge. Connections are known by the numbers given to them. */
public sealed interface Event {

    /** A request as it came; method, path and content go on unchanged. */
    record ClientRequest(RequestFields fields, String method, String uri, Content content) { }

    /** A server's whole answer; {@code reusable} says that its connection may carry another request. */
    record ServerAnswer(int status, boolean neverRan, LoadReport report, Content content,
                        boolean reusable) { }

    record ClientConnected(long client) implements Event { }

    /** The head of a request has come. */
    record RequestBegan(long client) implements Event { }

    /** The last byte of a request has come. */
    record RequestRead(long client, ClientRequest request) implements Event { }

    /** What came is no request that the node takes; the status says why. */
    record RequestUnreadable(long client, int status, String why) implements Event { }

    /** A client asked how the node is: whether it takes new clients, or only whether it lives. */
    record HealthAsked(long client, boolean readiness) implements Event { }

    /** The last byte of the answer is written, or writing it failed. */
    record AnswerWritten(long client) implements Event { }

    record ClientClosed(long client) implements Event { }

    record ServerConnected(long connection) implements Event { }

    record ConnectFailed(long connection) implements Event { }

    /** The last byte of the connection's request is written. */
    record RequestWritten(long connection) implements Event { }

    record AnswerRead(long connection, ServerAnswer answer) implements Event { }

    /** A connection has ended; {@code spoilt} because what came on it was no answer. */
    record ServerClosed(long connection, boolean spoilt) implements Event { }

    record ListRead(long call, HostList list) implements Event { }

    record ListCallFailed(long call) implements Event { }

    /** The node has been given a new configuration. */
    record Reconfigured(NodeConfig config) implements Event { }

    /** An operator's call at the door. */
    record OperatorAsked(long caller, OperatorCall call) implements Event { }

    /** The servers held out by this node, by name and since when, as its processes keep them. */
    record HeldRead(Map<String, Long> since) implements Event { }

    record TimerFired(Timer timer) implements Event { }

    /** Whether another process of this node lives beside this one. */
    record CompanySeen(boolean accompanied) implements Event { }

    /** The node has been told to stop; {@code succeeded}: another process of it takes its clients. */
    record StopAsked(boolean succeeded) implements Event { }
}
