// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import ottergauge.protocol.Content;
import ottergauge.routing.Effect.CheckRelay;
import ottergauge.routing.Effect.CloseClient;
import ottergauge.routing.Effect.RelayResponse;
import ottergauge.routing.Effect.ReportInvalidRequest;
import ottergauge.routing.Effect.Respond;

/**
 * The connections of clients: the stage of each, and when it is closed unless it makes progress.
 * Durations are in microseconds.
 */
final class DownstreamConnections {

    private static final long BODY_STALL_TIMEOUT_MICROS = 2_000_000;
    // A client that sends nothing must be disconnected within 3 s, and the sweep may be late.
    private static final long HEAD_TIMEOUT_MICROS = 2_600_000;
    // On a new connection the timeout for the head also limits when the body starts, but the body
    // has at least this long after the head.
    private static final long MIN_BODY_START_MICROS = 350_000;
    // A quarter of the slowest rate that the protocol allows: bounds how long a client that sends
    // single bytes keeps its connection.
    private static final long MIN_BODY_BYTES_PER_SECOND = 16_000;
    // The operating system buffers a large part of a stream, so that a slow reader makes progress
    // only in large steps.
    private static final long STREAM_STALL_TIMEOUT_MICROS = 10_000_000;
    // A server that has begun a response may pause for longer than a client may.
    private static final long SERVER_SILENCE_TIMEOUT_MICROS = 30_000_000;
    private static final long IDLE_TIMEOUT_MICROS = 5_000_000;
    // A connection that has been idle for less than this may have a request on its way.
    private static final long RECENT_MICROS = 250_000;
    private static final long MICROS_PER_SECOND = 1_000_000;

    private enum Stage {
        IDLE,
        READING_REQUEST,
        AWAITING_RESPONSE,
        WRITING_RESPONSE
    }

    private static final class Connection {
        Stage stage = Stage.IDLE;

        /** When it became idle, or when the head of its current request arrived. */
        long since;

        /**
         * When it is closed, or its relay is checked, unless it makes progress. Ignored while the
         * client awaits a response, and while the node doesn't read the body of its request.
         */
        long closeAt;

        /** When the response that is relayed to it last made progress. */
        long relayProgressAt;

        /** Whether a response has been written to it before. */
        boolean reused;

        long bodyBytes;

        /** The size of the buffer for the body of the request that it carries. */
        long bufferBytes;

        /** When the node stopped reading the body of the request that it carries. */
        long blockedSince;

        /** The request that it carries, or null. */
        InFlightRequest request;

        boolean isBodyBlocked() {
            return stage == Stage.READING_REQUEST && request != null && request.bodyBlocked;
        }

        /** Whether its request is arriving and has not been accepted. */
        boolean isUnfinished() {
            return stage == Stage.READING_REQUEST && request == null;
        }

        /** Whether the client's own progress decides when it is closed. */
        boolean awaitsClient() {
            return stage != Stage.AWAITING_RESPONSE && !isBodyBlocked();
        }
    }

    private final Consumer<Effect> effects;
    private final Map<Long, Connection> connections = new LinkedHashMap<>();

    /** In the order in which they became idle. */
    private final Map<Long, Connection> idle = new LinkedHashMap<>();

    // A client that sends invalid requests must not fill the log.
    private final ReportLimit invalidReports = new ReportLimit();
    private boolean closesAfterResponses;
    private BufferBudget bufferBudget;

    DownstreamConnections(Consumer<Effect> effects) {
        this.effects = effects;
    }

    /** Sets the budget of the buffers, before the first client connects. */
    void setBufferBudget(BufferBudget budget) {
        bufferBudget = budget;
    }

    int openCount() {
        return connections.size();
    }

    /** A client has connected. */
    void connected(long now, long client) {
        Connection connection = new Connection();
        connections.put(client, connection);
        setIdle(now, client, connection, HEAD_TIMEOUT_MICROS);
    }

    private void setIdle(long now, long client, Connection connection, long timeout) {
        connection.stage = Stage.IDLE;
        connection.since = now;
        connection.closeAt = now + timeout;
        idle.put(client, connection);
    }

    private void setBusy(long client, Connection connection, Stage stage) {
        connection.stage = stage;
        idle.remove(client);
    }

    /** The first bytes of a request's head have arrived. */
    void headStarted(long now, long client) {
        Connection connection = connections.get(client);
        if (connection != null && connection.stage == Stage.IDLE) {
            setBusy(client, connection, Stage.READING_REQUEST);
            if (connection.reused) {
                connection.closeAt = now + HEAD_TIMEOUT_MICROS;
            }
        }
    }

    /** The head of a request has arrived. */
    void headReceived(long now, long client) {
        Connection connection = connections.get(client);
        if (connection != null) {
            setBusy(client, connection, Stage.READING_REQUEST);
            connection.since = now;
            connection.bodyBytes = 0;
            connection.closeAt =
                    connection.reused
                            ? now + BODY_STALL_TIMEOUT_MICROS
                            : Math.max(connection.closeAt, now + MIN_BODY_START_MICROS);
        }
    }

    /** A part of a body has been read or written. */
    void bodyProgress(long now, long client, long bytes) {
        Connection connection = connections.get(client);
        if (connection == null) {
            return;
        }
        connection.bodyBytes += bytes;
        if (connection.stage == Stage.READING_REQUEST) {
            if (connection.request != null) {
                connection.request.backlog.progressed(now, connection.bodyBytes);
            }
            long atMinRate = connection.bodyBytes * MICROS_PER_SECOND / MIN_BODY_BYTES_PER_SECOND;
            connection.closeAt =
                    Math.min(
                            now + BODY_STALL_TIMEOUT_MICROS,
                            connection.since + BODY_STALL_TIMEOUT_MICROS + atMinRate);
        } else if (connection.stage == Stage.WRITING_RESPONSE) {
            boolean relaying = connection.request != null;
            connection.relayProgressAt = now;
            connection.closeAt =
                    now + (relaying ? STREAM_STALL_TIMEOUT_MICROS : BODY_STALL_TIMEOUT_MICROS);
        }
    }

    /**
     * The buffer for the body of a client's request has grown to this size. If all buffers together
     * exceed their budget, the requests that have been arriving for longest are answered with this
     * status, until they don't.
     */
    void bodyBufferGrown(long now, long client, long bytes, int status, long retryAfterMicros) {
        Connection connection = connections.get(client);
        if (connection == null) {
            return;
        }
        setBuffer(connection, bytes);
        while (bufferBudget.isExceeded()) {
            Optional<Long> oldest = longestUnfinished(each -> each.bufferBytes > 0);
            if (oldest.isEmpty()) {
                return;
            }
            respond(now, oldest.get(), status, retryAfterMicros, Content.NONE, true);
        }
    }

    private void setBuffer(Connection connection, long bytes) {
        bufferBudget.add(bytes - connection.bufferBytes);
        connection.bufferBytes = bytes;
    }

    /** A client's request is accepted; a streamed one continues to be read. */
    void accepted(InFlightRequest request) {
        Connection connection = connections.get(request.client);
        if (connection != null) {
            if (request.streamed) {
                setBuffer(connection, 0);
            }
            setBusy(
                    request.client,
                    connection,
                    request.complete ? Stage.AWAITING_RESPONSE : Stage.READING_REQUEST);
            connection.request = request;
        }
    }

    /**
     * The node stops reading the body of a streamed request, or reads on; returns the request if
     * that is a change. The time in between does not count as the client's.
     */
    Optional<InFlightRequest> bodyFlowChanged(long now, long client, boolean blocked) {
        Connection connection = connections.get(client);
        if (connection == null
                || connection.request == null
                || connection.stage != Stage.READING_REQUEST
                || connection.request.bodyBlocked == blocked) {
            return Optional.empty();
        }
        connection.request.bodyBlocked = blocked;
        if (blocked) {
            connection.blockedSince = now;
            connection.request.backlog.blocked(now, connection.bodyBytes);
        } else {
            connection.request.backlog.unblocked(now);
            long blockedFor = now - connection.blockedSince;
            connection.since += blockedFor;
            connection.closeAt += blockedFor;
        }
        return Optional.of(connection.request);
    }

    /** For how long the node has not read the body of a streamed request, in microseconds. */
    long pausedMicros(long now, InFlightRequest request) {
        Connection connection = connections.get(request.client);
        return connection != null && connection.isBodyBlocked() ? now - connection.blockedSince : 0;
    }

    /** The last byte of a streamed request has arrived; returns the request. */
    Optional<InFlightRequest> requestCompleted(long client) {
        Connection connection = connections.get(client);
        if (connection == null || connection.request == null) {
            return Optional.empty();
        }
        setBusy(client, connection, Stage.AWAITING_RESPONSE);
        return Optional.of(connection.request);
    }

    /** Starts to relay a streamed response; false if the client has disconnected. */
    boolean relay(long now, long client, long upstream) {
        Connection connection = connections.get(client);
        if (connection == null) {
            return false;
        }
        setBusy(client, connection, Stage.WRITING_RESPONSE);
        setBuffer(connection, 0);
        connection.reused = true;
        connection.relayProgressAt = now;
        connection.closeAt = now + STREAM_STALL_TIMEOUT_MICROS;
        effects.accept(new RelayResponse(client, upstream, closesAfterResponses));
        return true;
    }

    /**
     * The last byte of a streamed response has been passed to the client's connection, but may not
     * be written yet.
     */
    void relayCompleted(long now, long client) {
        Connection connection = connections.get(client);
        if (connection != null) {
            connection.request = null;
            connection.closeAt = now + STREAM_STALL_TIMEOUT_MICROS;
        }
    }

    /**
     * Closes a connection for this reason before the end of its response, which shows the client
     * that the request failed.
     */
    void truncate(long client, CloseReason reason) {
        if (connections.containsKey(client)) {
            close(client, reason);
        }
    }

    /** Detaches the request that a connection carries, and returns it. */
    Optional<InFlightRequest> detach(long client) {
        Connection connection = connections.get(client);
        if (connection == null || connection.request == null) {
            return Optional.empty();
        }
        InFlightRequest request = connection.request;
        connection.request = null;
        return Optional.of(request);
    }

    /** Answers the request that a connection carries, if its client is still connected. */
    void respond(
            long now,
            long client,
            int status,
            long retryAfterMicros,
            Content content,
            boolean close) {
        Connection connection = connections.get(client);
        if (connection == null) {
            return;
        }
        // If a request is incomplete, the node cannot tell where the next one starts.
        boolean incomplete =
                connection.stage == Stage.READING_REQUEST && connection.request != null;
        setBusy(client, connection, Stage.WRITING_RESPONSE);
        setBuffer(connection, 0);
        connection.request = null;
        connection.reused = true;
        connection.closeAt = now + BODY_STALL_TIMEOUT_MICROS;
        effects.accept(
                new Respond(
                        client,
                        status,
                        retryAfterMicros,
                        content,
                        close || incomplete || closesAfterResponses));
    }

    /** Answers the requests that have not arrived far enough to be accepted. */
    void rejectIncomplete(long now, int status, long retryAfterMicros) {
        for (Map.Entry<Long, Connection> entry : new ArrayList<>(connections.entrySet())) {
            Connection connection = entry.getValue();
            if (connection.isUnfinished()) {
                respond(now, entry.getKey(), status, retryAfterMicros, Content.NONE, true);
            }
        }
    }

    /** Answers an invalid request, reports it, and closes the connection after the response. */
    void reject(long now, long client, int status, String reason) {
        invalidReports
                .admit(now)
                .ifPresent(
                        suppressed ->
                                effects.accept(
                                        new ReportInvalidRequest(
                                                client, status, reason, suppressed)));
        respond(now, client, status, 0, Content.NONE, true);
    }

    /** A response is written. */
    void responseWritten(long now, long client) {
        Connection connection = connections.get(client);
        if (connection != null && connection.stage == Stage.WRITING_RESPONSE) {
            setIdle(now, client, connection, IDLE_TIMEOUT_MICROS);
        }
    }

    /** A connection has ended; returns its unanswered request, if any. */
    Optional<InFlightRequest> closed(long client) {
        return remove(client).map(connection -> connection.request);
    }

    /** Makes every connection close after its next response from now on. */
    void closeAfterResponses() {
        closesAfterResponses = true;
    }

    /** Closes all idle connections. */
    void closeIdle(CloseReason reason) {
        new ArrayList<>(idle.keySet()).forEach(client -> close(client, reason));
    }

    /** Closes the connections that have been idle or without progress for too long. */
    void sweep(long now) {
        for (Map.Entry<Long, Connection> entry : new ArrayList<>(connections.entrySet())) {
            Connection connection = entry.getValue();
            if (!connection.awaitsClient() || now < connection.closeAt) {
                continue;
            }
            if (connection.request == null) {
                close(entry.getKey(), timeoutReason(connection));
            } else if (connection.stage == Stage.WRITING_RESPONSE) {
                effects.accept(new CheckRelay(entry.getKey()));
            } else {
                closeWithRequest(entry.getKey(), connection);
            }
        }
    }

    // The transport reports the closed connection as an event, which also ends the request.
    private void closeWithRequest(long client, Connection connection) {
        connection.closeAt = Long.MAX_VALUE;
        effects.accept(new CloseClient(client, timeoutReason(connection)));
    }

    /**
     * A relayed response has made no progress for as long as a client may go without reading. The
     * connection is closed if its client is what the response waits for; otherwise the server has
     * more time.
     *
     * @param clientBehind whether the client still has to read
     * @return the request, if the server's time is over too
     */
    Optional<InFlightRequest> relayChecked(long now, long client, boolean clientBehind) {
        Connection connection = connections.get(client);
        if (connection == null
                || connection.request == null
                || connection.stage != Stage.WRITING_RESPONSE
                || now < connection.closeAt) {
            return Optional.empty();
        }
        if (clientBehind) {
            closeWithRequest(client, connection);
            return Optional.empty();
        }
        connection.closeAt = connection.relayProgressAt + SERVER_SILENCE_TIMEOUT_MICROS;
        return now < connection.closeAt ? Optional.empty() : Optional.of(connection.request);
    }

    private static CloseReason timeoutReason(Connection connection) {
        if (connection.stage == Stage.READING_REQUEST) {
            return CloseReason.SLOW_REQUEST;
        }
        if (connection.stage == Stage.WRITING_RESPONSE || connection.request != null) {
            return CloseReason.SLOW_ANSWER;
        }
        return connection.reused ? CloseReason.IDLE : CloseReason.SILENT;
    }

    /** Closes the connection that has been idle for longest, but not this one; false if none. */
    boolean closeLongestIdleExcept(long client) {
        Optional<Long> oldest = idle.keySet().stream().filter(each -> each != client).findFirst();
        oldest.ifPresent(each -> close(each, CloseReason.SOCKETS_SHORT));
        return oldest.isPresent();
    }

    /**
     * Closes the connection whose request has been arriving for longest without being accepted;
     * false if there is none.
     */
    boolean closeLongestUnfinished() {
        Optional<Long> oldest = longestUnfinished(any -> true);
        oldest.ifPresent(each -> close(each, CloseReason.SOCKETS_SHORT));
        return oldest.isPresent();
    }

    private Optional<Long> longestUnfinished(Predicate<Connection> condition) {
        return connections.entrySet().stream()
                .filter(entry -> entry.getValue().isUnfinished())
                .filter(entry -> condition.test(entry.getValue()))
                .min(Comparator.comparingLong(entry -> entry.getValue().since))
                .map(Map.Entry::getKey);
    }

    /** Closes a connection if it is idle. */
    void closeIdle(long client, CloseReason reason) {
        if (idle.containsKey(client)) {
            close(client, reason);
        }
    }

    /**
     * Closes the connection that has been idle for longest.
     *
     * @param includeRecent whether one that has just become idle may be closed too
     * @return false if there is none
     */
    boolean closeLongestIdle(long now, boolean includeRecent) {
        Iterator<Map.Entry<Long, Connection>> oldest = idle.entrySet().iterator();
        if (!oldest.hasNext()) {
            return false;
        }
        Map.Entry<Long, Connection> entry = oldest.next();
        if (!includeRecent && now - entry.getValue().since < RECENT_MICROS) {
            return false;
        }
        close(entry.getKey(), CloseReason.SOCKETS_SHORT);
        return true;
    }

    private Optional<Connection> remove(long client) {
        idle.remove(client);
        Optional<Connection> removed = Optional.ofNullable(connections.remove(client));
        removed.ifPresent(connection -> setBuffer(connection, 0));
        return removed;
    }

    private void close(long client, CloseReason reason) {
        remove(client);
        effects.accept(new CloseClient(client, reason));
    }
}
