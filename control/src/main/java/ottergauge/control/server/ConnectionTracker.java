// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The open connections: limited in number, and closed when they are idle or their client reads too
 * slowly. Used on the event loop alone.
 */
final class ConnectionTracker {

    /** What a connection waits for. */
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

    /** A connection was opened; it is closed at once if it exceeds the limit. */
    void opened(HttpConnection connection, long nowMs) {
        if (open.size() >= maxConnections) {
            close(connection);
            return;
        }
        open.put(connection, new Activity(Phase.REQUEST, nowMs));
        connection.closeHandler(closed -> open.remove(connection));
    }

    /** A complete request was received; its response has no timeout here. */
    void requestReceived(HttpConnection connection, long nowMs) {
        enter(connection, Phase.RESPONSE, nowMs);
    }

    /** The response is being written, which the client has to read. */
    void responseStarted(HttpConnection connection, long nowMs) {
        enter(connection, Phase.CLIENT_READ, nowMs);
    }

    /** The response is written; the next request is awaited. */
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

    // HttpConnection.close() waits until the client has read all that was written, which it may
    // never do. The channel's close can't fail in a way that leaves anything to be done.
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
