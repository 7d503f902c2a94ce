// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/** Why a connection ended. The names are the {@code code=} values of the connection log. */
public enum CloseReason {
    /** The peer closed it. */
    PEER_CLOSED,
    /** An I/O error ended it. */
    RESET,
    /** It was refused, or its address is unreachable. */
    CONNECT_FAILED,
    /** It was not established within the connect timeout. */
    CONNECT_TIMEOUT,
    /** It was idle for too long. */
    IDLE,
    /** The attempt on it timed out. */
    TIMED_OUT,
    /** The attempt on it was cancelled. */
    CANCELLED,
    /** One side does not allow another request on it. */
    NOT_REUSABLE,
    /** Its server is draining, removed, or at another address. */
    DELISTED,
    /** It carried a poll of discovery, and the endpoints come from the change log from now on. */
    DISCOVERY_LEFT,
    /** The data received on it is not a valid request or response. */
    MALFORMED,
    /** A response on it exceeds the size limit. */
    TOO_LARGE,
    /** A request on it was started but not completed in time. */
    SLOW_REQUEST,
    /** Its client did not read the response in time. */
    SLOW_ANSWER,
    /**
     * Its server sent nothing more for too long in the middle of a response that was being relayed.
     */
    SERVER_SILENT,
    /** The server ended the connection before the end of a response that was being relayed. */
    CUT_SHORT,
    /** Its client disconnected while the response was being relayed. */
    CLIENT_GONE,
    /** Its client connected and sent no request. */
    SILENT,
    /** Discovery is at another address. */
    DISCOVERY_MOVED,
    /** Discovery did not answer a poll on it in time. */
    WATCH_SILENT,
    /** Another control process is polled instead. */
    CONTROL_MOVED,
    /** A control process did not answer in time, or its poll was cancelled for another process. */
    CONTROL_SILENT,
    /** The node reached its limit of sockets. */
    SOCKETS_SHORT,
    /** The node is stopping. */
    STOPPING
}
