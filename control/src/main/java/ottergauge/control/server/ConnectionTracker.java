// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tracks the open connections. Limits their number, and closes connections that are idle or whose
 * client reads too slowly. Used only on the event loop.
 */
final class ConnectionTracker {

    /** The event that a connection is waiting for. */
    private enum Phase {
        REQUEST,
        RESPONSE,
        CLIENT_READ
    }

    private record Activity(Phase phase, long sinceMs) {}

    private final int maxConnections;
    private final long idleTimeoutMs;
    private final long slowReaderTimeoutMs;
    private final Map<HttpConnection, Activity> open = new HashMap<>();

    ConnectionTracker(int maxConnections, long idleTimeoutMs, long slowReaderTimeoutMs) {
        this.maxConnections = maxConnections;
        this.idleTimeoutMs = idleTimeoutMs;
        this.slowReaderTimeoutMs = slowReaderTimeoutMs;
    }

    /** Records an opened connection. Closes it at once if there are too many connections. */
    void opened(HttpConnection connection, long nowMs) {
        if (open.size() >= maxConnections) {
            close(connection);
            return;
        }
        open.put(connection, new Activity(Phase.REQUEST, nowMs));
        connection.closeHandler(closed -> open.remove(connection));
    }

    /** Records a complete request. This class applies no timeout until the response is started. */
    void requestReceived(HttpConnection connection, long nowMs) {
        enter(connection, Phase.RESPONSE, nowMs);
    }

    /** Records that the response is being written. The client has to read it before a timeout. */
    void responseStarted(HttpConnection connection, long nowMs) {
        enter(connection, Phase.CLIENT_READ, nowMs);
    }

    /** Records that the response was written. The connection now waits for the next request. */
    void responseWritten(HttpConnection connection, long nowMs) {
        enter(connection, Phase.REQUEST, nowMs);
    }

    private void enter(HttpConnection connection, Phase phase, long nowMs) {
        open.computeIfPresent(connection, (key, before) -> new Activity(phase, nowMs));
    }

    /** Closes the connections that exceed the timeout of their phase. */
    void closeOverdue(long nowMs) {
        List<HttpConnection> overdue = new ArrayList<>();
        open.forEach(
                (connection, activity) -> {
                    if (nowMs - activity.sinceMs() > timeoutMs(activity.phase())) {
                        overdue.add(connection);
                    }
                });
        overdue.forEach(ConnectionTracker::close);
    }

    // Closes the channel, since HttpConnection.close() would wait until the client has read all
    // written data, and the client may never read it. The returned future is ignored, because a
    // failure to close needs no further action.
    @SuppressWarnings("FutureReturnValueIgnored")
    private static void close(HttpConnection connection) {
        ((ConnectionBase) connection).channelHandlerContext().close();
    }

    private long timeoutMs(Phase phase) {
        return switch (phase) {
            case REQUEST -> idleTimeoutMs;
            case RESPONSE -> Long.MAX_VALUE;
            case CLIENT_READ -> slowReaderTimeoutMs;
        };
    }
}
