// SPDX-License-Identifier: Apache-2.0
package ottergauge.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.Consumer;
import ottergauge.decision.api.EndpointState;
import ottergauge.protocol.Address;
import ottergauge.protocol.DiscoveredEndpoint;
import ottergauge.protocol.EndpointList;
import ottergauge.routing.Effect.CloseUpstream;
import ottergauge.routing.Effect.ConnectUpstream;
import ottergauge.routing.Effect.Forward;
import ottergauge.routing.Effect.ForwardStream;
import ottergauge.routing.Effect.ProbeLoad;
import ottergauge.routing.Effect.ReadPendingInput;
import ottergauge.routing.Effect.StartTimer;

/**
 * The pool of connections to all servers. A connection carries one attempt at a time and stays open
 * while idle. An attempt that finds no idle connection waits for a new one or for the next one that
 * becomes idle. Before an attempt is sent on its connection, the node reads all input that has
 * arrived, and the router checks again that the attempt is still allowed.
 */
final class UpstreamPool {

    // The node closes idle connections before the server does. A request that is written while the
    // server closes its connection would be reset.
    private static final double IDLE_TIMEOUT_RATIO = 0.75;
    // A connection whose first segments are lost is established after 1 s or 3 s (RFC 6298). No
    // attempt waits that long, but later attempts can use the connection.
    private static final long OVERDUE_TIMEOUT_MICROS = 3_200_000;
    // An unreachable server never accepts a connection. Beyond this number of overdue connections,
    // further ones time out early.
    private static final int MAX_OVERDUE = 2;

    private final ConnectTimeoutEstimator connectTimeoutEstimator;
    private final Consumer<Effect> effects;
    private final Map<Long, ServerPool> byServer = new HashMap<>();
    private final Map<Long, PooledConnection> connections = new HashMap<>();

    /** In the order in which they became idle. */
    private final Set<PooledConnection> idle = new LinkedHashSet<>();

    private long maxConnectTimeout;
    private long idleTimeout;
    private long lastNumber;

    /** Creates a pool without servers; for the parameters see {@link #setTimeouts}. */
    UpstreamPool(long connectTimeout, long serverIdleTimeout, Consumer<Effect> effects) {
        connectTimeoutEstimator = new ConnectTimeoutEstimator(connectTimeout);
        this.effects = effects;
        setTimeouts(connectTimeout, serverIdleTimeout);
    }

    /**
     * Sets how long a connection may take to be established and how long servers keep an idle one
     * open, in microseconds.
     */
    void setTimeouts(long connectTimeout, long serverIdleTimeout) {
        maxConnectTimeout = connectTimeout;
        idleTimeout = (long) (serverIdleTimeout * IDLE_TIMEOUT_RATIO);
        connectTimeoutEstimator.setMax(connectTimeout);
    }

    int openCount() {
        return connections.size();
    }

    boolean contains(long server) {
        return byServer.containsKey(server);
    }

    /** Whether an attempt at this server would need a new connection. */
    boolean needsConnection(long server) {
        return byServer.get(server).idle.isEmpty();
    }

    /**
     * Applies an update of the endpoints.
     *
     * @return the attempts that were waiting for connections to servers that are draining, removed
     *     or replaced
     */
    List<Attempt> apply(EndpointList update) {
        List<Attempt> withdrawn = new ArrayList<>();
        Set<Long> named = new HashSet<>();
        for (DiscoveredEndpoint endpoint : update.endpoints()) {
            long server = EndpointIds.of(endpoint.name());
            named.add(server);
            if (endpoint.state() == EndpointState.REMOVED) {
                remove(server, withdrawn);
            } else {
                update(server, endpoint, withdrawn);
            }
        }
        if (update.complete()) {
            new ArrayList<>(byServer.keySet())
                    .stream()
                            .filter(server -> !named.contains(server))
                            .sorted()
                            .forEach(server -> remove(server, withdrawn));
        }
        return withdrawn;
    }

    private void update(long server, DiscoveredEndpoint endpoint, List<Attempt> withdrawn) {
        Address address = endpoint.address();
        ServerPool pool = byServer.computeIfAbsent(server, id -> new ServerPool(id, address));
        pool.accepting = endpoint.state() == EndpointState.UP;
        // The decision module selected the server for the waiting attempts while its previous
        // process was running, which had full capacity. A new process starts with slow start, so
        // the attempts are withdrawn.
        boolean replaced =
                !pool.address.equals(address) || endpoint.startedAtMs() > pool.startedAtMs;
        if (!pool.accepting || replaced) {
            withdrawWaiting(pool, withdrawn);
        }
        if (replaced) {
            pool.listed = false;
            ServerPool next = new ServerPool(server, address);
            next.accepting = pool.accepting;
            byServer.put(server, next);
        }
        byServer.get(server).startedAtMs = endpoint.startedAtMs();
    }

    private void remove(long server, List<Attempt> withdrawn) {
        ServerPool pool = byServer.remove(server);
        if (pool != null) {
            pool.listed = false;
            withdrawWaiting(pool, withdrawn);
        }
    }

    // If a waiting attempt were sent when its connection is established, the drain period of the
    // server might already be over.
    private void withdrawWaiting(ServerPool pool, List<Attempt> withdrawn) {
        withdrawn.addAll(pool.waiting);
        pool.waiting.clear();
        while (!pool.idle.isEmpty()) {
            close(pool.idle.getFirst(), CloseReason.DELISTED);
        }
    }

    /** Assigns an idle connection to an attempt, or lets the attempt wait for a connection. */
    void start(long now, Attempt attempt) {
        ServerPool pool = byServer.get(attempt.server);
        PooledConnection reusable = pool.idle.pollFirst();
        if (reusable != null) {
            idle.remove(reusable);
            assign(reusable, attempt);
            return;
        }
        pool.waiting.add(attempt);
        if (pool.connecting < pool.waiting.size()) {
            connect(now, pool);
        }
    }

    private void connect(long now, ServerPool pool) {
        PooledConnection connection = new PooledConnection(++lastNumber, pool, now);
        connections.put(connection.number, connection);
        pool.connecting++;
        boolean keepsOverdue = pool.connecting + pool.overdue <= MAX_OVERDUE;
        long attemptTimeout = connectTimeoutEstimator.timeout();
        effects.accept(
                new ConnectUpstream(
                        connection.number,
                        pool.address,
                        keepsOverdue
                                ? Math.max(OVERDUE_TIMEOUT_MICROS, maxConnectTimeout)
                                : attemptTimeout));
        effects.accept(new StartTimer(attemptTimeout, new Timer.ConnectTimeout(connection.number)));
    }

    private void assign(PooledConnection connection, Attempt attempt) {
        connection.attempt = attempt;
        attempt.connection = connection;
        effects.accept(
                new ReadPendingInput(connection.number, attempt.number, pausedClient(attempt)));
    }

    private static OptionalLong pausedClient(Attempt attempt) {
        boolean paused = !attempt.isProbe() && !attempt.request.complete;
        return paused ? OptionalLong.of(attempt.request.client) : OptionalLong.empty();
    }

    /** The attempt that a connection carries or is about to carry. */
    Optional<Attempt> attemptOn(long number) {
        PooledConnection connection = connections.get(number);
        return connection == null ? Optional.empty() : Optional.ofNullable(connection.attempt);
    }

    /** This attempt, if it is still the one that a connection is about to carry. */
    Optional<Attempt> pendingSend(long number, long attemptNumber) {
        return attemptOn(number)
                .filter(attempt -> attempt.number == attemptNumber && !attempt.sendStarted);
    }

    /**
     * Whether an attempt's server accepts requests and is still the process that was chosen for the
     * attempt.
     */
    boolean isEligible(Attempt attempt) {
        ServerPool pool = attempt.connection.pool;
        return pool.listed && pool.accepting;
    }

    /** Sends an attempt or probe. Requests to servers are written here only. */
    void send(long now, Attempt attempt) {
        attempt.sendStarted = true;
        long number = attempt.connection.number;
        InFlightRequest request = attempt.request;
        if (attempt.isProbe()) {
            effects.accept(new ProbeLoad(number));
        } else if (request.streamed) {
            effects.accept(
                    new ForwardStream(
                            number,
                            request.content,
                            attempt.index,
                            attempt.dueAt - now,
                            request.client));
        } else {
            effects.accept(
                    new Forward(number, request.content, attempt.index, attempt.dueAt - now));
        }
    }

    /**
     * Ends an attempt whose response is no longer needed. If its first byte is written, its
     * connection is closed, as the protocol requires. Otherwise the connection is available to the
     * next attempt.
     */
    void abandon(long now, Attempt attempt, CloseReason reason) {
        if (attempt.sendStarted) {
            close(attempt.connection, reason);
        } else if (attempt.connection != null) {
            attempt.connection.attempt = null;
            release(now, attempt.connection);
        } else if (contains(attempt.server)) {
            byServer.get(attempt.server).waiting.remove(attempt);
        }
    }

    /** A connection is established. */
    void connected(long now, long number) {
        PooledConnection connection = connections.get(number);
        if (connection == null) {
            return;
        }
        if (connection.overdue) {
            connection.pool.overdue--;
        } else {
            connectTimeoutEstimator.connected(now - connection.openedAt);
            connection.pool.connecting--;
        }
        connection.overdue = false;
        connection.established = true;
        release(now, connection);
    }

    /**
     * A connection failed; returns the attempt that has no other connection to wait for, if any.
     */
    Optional<Attempt> connectFailed(long now, long number) {
        PooledConnection connection = connections.remove(number);
        if (connection == null) {
            return Optional.empty();
        }
        if (connection.overdue) {
            connection.pool.overdue--;
            return Optional.empty();
        }
        return stopWaiting(now, connection);
    }

    /**
     * A connection was not established in time; returns the attempt that stops waiting for it, if
     * any.
     */
    Optional<Attempt> connectTimedOut(long now, long number) {
        PooledConnection connection = connections.get(number);
        if (connection == null || connection.established || connection.overdue) {
            return Optional.empty();
        }
        connection.overdue = true;
        connection.pool.overdue++;
        return stopWaiting(now, connection);
    }

    /** Whether several connections to a server are overdue at once. */
    boolean hasSeveralOverdue(long server) {
        return contains(server) && byServer.get(server).overdue >= MAX_OVERDUE;
    }

    private Optional<Attempt> stopWaiting(long now, PooledConnection connection) {
        connectTimeoutEstimator.failed(now - connection.openedAt);
        ServerPool pool = connection.pool;
        pool.connecting--;
        return pool.waiting.size() > pool.connecting
                ? Optional.of(pool.waiting.poll())
                : Optional.empty();
    }

    /** The last byte of the attempt on a connection is written; returns the attempt. */
    Optional<Attempt> sendCompleted(long number) {
        Optional<Attempt> attempt = attemptOn(number);
        attempt.ifPresent(each -> each.sendCompleted = true);
        return attempt;
    }

    /** A response is complete: releases its connection and returns the attempt. */
    Optional<Attempt> responseCompleted(long now, long number, boolean reusable) {
        PooledConnection connection = connections.get(number);
        if (connection == null || connection.attempt == null) {
            return Optional.empty();
        }
        Attempt attempt = connection.attempt;
        connection.attempt = null;
        connection.reused = true;
        if (reusable && attempt.sendCompleted) {
            release(now, connection);
        } else {
            close(connection, CloseReason.NOT_REUSABLE);
        }
        return Optional.of(attempt);
    }

    /** A connection has ended; returns the attempt that it carried. */
    Optional<Attempt> closed(long number) {
        PooledConnection connection = connections.remove(number);
        if (connection == null) {
            return Optional.empty();
        }
        removeIdle(connection);
        Optional<Attempt> attempt = Optional.ofNullable(connection.attempt);
        attempt.ifPresent(each -> connection.attempt = null);
        return attempt;
    }

    private void release(long now, PooledConnection connection) {
        ServerPool pool = connection.pool;
        Attempt next = pool.waiting.poll();
        if (next != null) {
            assign(connection, next);
        } else if (pool.listed && pool.accepting) {
            connection.idleSince = now;
            pool.idle.addFirst(connection);
            idle.add(connection);
        } else {
            close(connection, CloseReason.DELISTED);
        }
    }

    /** Closes the connections that have been idle for too long. */
    void sweep(long now) {
        for (PooledConnection connection : new ArrayList<>(idle)) {
            if (now - connection.idleSince >= idleTimeout) {
                close(connection, CloseReason.IDLE);
            }
        }
    }

    /** Closes the connection that has been idle for longest; false if none is idle. */
    boolean closeLongestIdle() {
        if (idle.isEmpty()) {
            return false;
        }
        close(idle.iterator().next(), CloseReason.SOCKETS_SHORT);
        return true;
    }

    private void removeIdle(PooledConnection connection) {
        if (idle.remove(connection)) {
            connection.pool.idle.remove(connection);
        }
    }

    private void close(PooledConnection connection, CloseReason reason) {
        connections.remove(connection.number);
        removeIdle(connection);
        effects.accept(new CloseUpstream(connection.number, reason));
    }
}
