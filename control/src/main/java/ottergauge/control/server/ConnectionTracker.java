// SPDX-License-Identifier: Apache-2.0
package ottergauge.control.server;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** The connections that are open: bounded by number, and closed when nothing happens on them. */
final class ConnectionTracker {

    /** What a connection waits for. */
    private enum Phase {
        CALL,
        ANSWER,
        READER
    }

    private record Activity(Phase phase, long sinceMs) {}

    private final int most;
    private final long idleMs;
    private final long slowReaderMs;
    private final Map<HttpConnection, Activity> open = new HashMap<>();

    ConnectionTracker(int most, long idleMs, long slowReaderMs) {
        this.most = most;
        this.idleMs = idleMs;
        this.slowReaderMs = slowReaderMs;
    }

    /** A connection was opened; one that is too many is closed again. */
    void opened(HttpConnection connection, long nowMs) {
        if (open.size() >= most) {
            close(connection);
            return;
        }
        open.put(connection, new Activity(Phase.CALL, nowMs));
        connection.closeHandler(closed -> open.remove(connection));
    }

    int count() {
        return open.size();
    }

    /** A call has come in whole: the answer may take its time. */
    void called(HttpConnection connection, long nowMs) {
        enter(connection, Phase.ANSWER, nowMs);
    }

    /** The answer is on its way to a client that has to read it. */
    void answered(HttpConnection connection, long nowMs) {
        enter(connection, Phase.READER, nowMs);
    }

    /** The answer is written: the next call may come. */
    void written(HttpConnection connection, long nowMs) {
        enter(connection, Phase.CALL, nowMs);
    }

    private void enter(HttpConnection connection, Phase phase, long nowMs) {
        open.computeIfPresent(connection, (key, before) -> new Activity(phase, nowMs));
    }

    /** Closes those that have been quiet, and those whose client doesn't read, for too long. */
    void closeOverdue(long nowMs) {
        List<HttpConnection> overdue =
                open.entrySet().stream()
                        .filter(
                                each ->
                                        nowMs - each.getValue().sinceMs()
                                                > allowedMs(each.getValue().phase()))
                        .map(Map.Entry::getKey)
                        .toList();
        overdue.forEach(ConnectionTracker::close);
    }

    // The library's own close waits until all that was written is read, which a client may never
    // do.
    private static void close(HttpConnection connection) {
        ((ConnectionBase) connection).channelHandlerContext().close();
    }

    private long allowedMs(Phase phase) {
        return switch (phase) {
            case CALL -> idleMs;
            case ANSWER -> Long.MAX_VALUE;
            case READER -> slowReaderMs;
        };
    }
}
