// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

/** Why a connection ended: the code in its log line. */
public enum CloseReason {
    /** The other side closed it. */
    PEER_CLOSED,
    /** It broke. */
    RESET,
    /** It was refused, or could not be reached. */
    CONNECT_FAILED,
    /** It was not up within the time that connections have. */
    CONNECT_TIMEOUT,
    /** It stood idle for too long. */
    IDLE,
    /** The attempt on it ran out of time. */
    TIMED_OUT,
    /** The attempt on it was cancelled. */
    CANCELLED,
    /** One side asked for no further request on it. */
    NOT_REUSABLE,
    /** Its server drains, is gone, or has moved. */
    DELISTED,
    /** A call to discovery: the list comes from the log of changes from now on. */
    DISCOVERY_LEFT,
    /** What came on it is no request or answer. */
    MALFORMED,
    /** An answer on it is larger than the node takes. */
    TOO_LARGE,
    /** A request on it was begun and not finished in time. */
    SLOW_REQUEST,
    /** Its client did not take the answer in time. */
    SLOW_ANSWER,
    /** The server broke off an answer that was being passed on. */
    CUT_SHORT,
    /** Its client left while the answer was being passed on. */
    CLIENT_GONE,
    /** Its client connected and asked nothing. */
    SILENT,
    /** Discovery is at another address now. */
    DISCOVERY_MOVED,
    /** Discovery did not answer in time on it. */
    WATCH_SILENT,
    /** Another control process is asked now. */
    CONTROL_MOVED,
    /**
     * A control process did not answer in time on it, or the call on it was given up for another
     * process.
     */
    CONTROL_SILENT,
    /** The node was short of sockets. */
    SOCKETS_SHORT,
    /** The node is stopping. */
    STOPPING
}
